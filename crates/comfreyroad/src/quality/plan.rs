use std::time::Duration;

use super::{Candidate, Constraints, lower};

/// Versions in a chain at most.
pub const MAX_STEPS: usize = 3;

/// The cheapest chain whose last version is good enough, as indices of the candidates; empty without candidates.
///
/// Whatever the versions before it do, a chain's answers are good at least as often as those of each of its versions:
/// an answer is passed over only when it was rated bad. Nothing has to be known of how their failures hang together.
pub fn chain(candidates: &[Candidate], terms: &Constraints) -> Vec<usize> {
    let meets = |index: &usize| candidates[*index].meets(terms.target);
    let mut lasts: Vec<usize> = (0..candidates.len()).filter(meets).collect();
    if lasts.is_empty() {
        lasts.extend(fallback(candidates));
    }
    let mut search = Search {
        candidates,
        terms,
        best: None,
    };
    for last in lasts {
        search.extend(&mut Vec::new(), last, 0.0, 1.0, Duration::ZERO);
    }
    search.best.map_or(Vec::new(), |(_, chain)| chain)
}

/// Where none is known to be good enough: the dearest, unless that is known to be worse than another one.
fn fallback(candidates: &[Candidate]) -> Option<usize> {
    let dearest = (0..candidates.len()).max_by_key(|index| candidates[*index].cost)?;
    if !candidates[dearest].is_known() {
        return Some(dearest);
    }
    let known = (0..candidates.len()).filter(|index| candidates[*index].is_known());
    known.max_by(|a, b| lower(candidates[*a].score).total_cmp(&lower(candidates[*b].score)))
}

struct Search<'a> {
    candidates: &'a [Candidate],
    terms: &'a Constraints,
    best: Option<(f64, Vec<usize>)>,
}

impl Search<'_> {
    /// Tries the chain of these steps and the last one, and all that have more steps before it.
    ///
    /// `reached` bounds from above how often all steps so far fail together: no oftener than the best of them.
    fn extend(
        &mut self,
        steps: &mut Vec<usize>,
        last: usize,
        cost: f64,
        reached: f64,
        takes: Duration,
    ) {
        let best = self.best.as_ref().map_or(f64::INFINITY, |(cost, _)| *cost);
        let total = cost + reached * self.candidates[last].cost as f64;
        if total < best && self.fits(steps, last, takes) {
            let chain = steps.iter().copied().chain([last]).collect();
            self.best = Some((total, chain));
        }
        if cost >= best || steps.len() + 1 >= MAX_STEPS || self.terms.room.is_none() {
            return;
        }
        for next in 0..self.candidates.len() {
            if next == last || steps.contains(&next) {
                continue;
            }
            let candidate = &self.candidates[next];
            let step = (candidate.cost + self.terms.rating_cost) as f64;
            let fails = 1.0 - candidate.score.mean();
            let time = candidate.takes.unwrap_or_default() + self.terms.rating_duration;
            steps.push(next);
            let cost = cost + reached * step;
            self.extend(steps, last, cost, reached.min(fails), takes + time);
            steps.pop();
        }
    }

    /// Whether the deadline leaves time for all steps, each of which must have a known time.
    fn fits(&self, steps: &[usize], last: usize, takes: Duration) -> bool {
        let Some(room) = self.terms.room else {
            return steps.is_empty();
        };
        if steps.is_empty() {
            return true;
        }
        let is_timed = |index: &usize| self.candidates[*index].takes.is_some();
        let Some(end) = self.candidates[last].takes else {
            return false;
        };
        steps.iter().all(is_timed) && takes + end <= room
    }
}
