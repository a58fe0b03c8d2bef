use std::time::Duration;

use super::{Candidate, Constraints, lower};

/// Limit on the number of versions in a chain.
pub const MAX_STEPS: usize = 3;

/// The cheapest chain whose last version meets the target, as indices of the candidates; empty without candidates.
///
/// An answer is discarded only if it was rated bad, so the answers of a chain are good at least as often as those of
/// each of its versions. This holds no matter how the failures of the versions correlate.
pub fn cheapest_chain(candidates: &[Candidate], constraints: &Constraints) -> Vec<usize> {
    let meets = |index: &usize| candidates[*index].meets(constraints.target);
    let mut last_candidates: Vec<usize> = (0..candidates.len()).filter(meets).collect();
    if last_candidates.is_empty() {
        last_candidates.extend(fallback(candidates));
    }
    let mut search = Search {
        candidates,
        constraints,
        best: None,
    };
    for last in last_candidates {
        search.extend(&mut Vec::new(), last, 0.0, 1.0, Duration::ZERO);
    }
    search.best.map_or(Vec::new(), |(_, chain)| chain)
}

/// The last version if no candidate meets the target: the most expensive one until it has enough ratings, then the
/// rated one with the highest lower bound.
fn fallback(candidates: &[Candidate]) -> Option<usize> {
    let most_expensive = (0..candidates.len()).max_by_key(|index| candidates[*index].cost)?;
    if !candidates[most_expensive].is_rated() {
        return Some(most_expensive);
    }
    let rated = (0..candidates.len()).filter(|index| candidates[*index].is_rated());
    rated.max_by(|a, b| lower(candidates[*a].score).total_cmp(&lower(candidates[*b].score)))
}

struct Search<'a> {
    candidates: &'a [Candidate],
    constraints: &'a Constraints,
    best: Option<(f64, Vec<usize>)>,
}

impl Search<'_> {
    /// Tries the chain of `steps` followed by `last`, and recursively all chains with further steps before `last`.
    ///
    /// `reached` is an upper bound on the probability that all steps fail: the failure rate of the best of them.
    fn extend(
        &mut self,
        steps: &mut Vec<usize>,
        last: usize,
        cost: f64,
        reached: f64,
        duration: Duration,
    ) {
        let best = self.best.as_ref().map_or(f64::INFINITY, |(cost, _)| *cost);
        let total = cost + reached * self.candidates[last].cost as f64;
        if total < best && self.fits(steps, last, duration) {
            let chain = steps.iter().copied().chain([last]).collect();
            self.best = Some((total, chain));
        }
        if cost >= best || steps.len() + 1 >= MAX_STEPS || self.constraints.time_limit.is_none() {
            return;
        }
        for next in 0..self.candidates.len() {
            if next == last || steps.contains(&next) {
                continue;
            }
            let candidate = &self.candidates[next];
            let step = (candidate.cost + self.constraints.rating_cost) as f64;
            let fails = 1.0 - candidate.score.mean();
            let time = candidate.duration.unwrap_or_default() + self.constraints.rating_duration;
            steps.push(next);
            let cost = cost + reached * step;
            self.extend(steps, last, cost, reached.min(fails), duration + time);
            steps.pop();
        }
    }

    /// Whether the time limit allows all steps. In a chain of several versions each must have a known duration.
    fn fits(&self, steps: &[usize], last: usize, duration: Duration) -> bool {
        let Some(time_limit) = self.constraints.time_limit else {
            return steps.is_empty();
        };
        if steps.is_empty() {
            return true;
        }
        let is_timed = |index: &usize| self.candidates[*index].duration.is_some();
        let Some(end) = self.candidates[last].duration else {
            return false;
        };
        steps.iter().all(is_timed) && duration + end <= time_limit
    }
}
