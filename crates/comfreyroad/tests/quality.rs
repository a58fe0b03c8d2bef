//! Rating counts, confidence bounds, evidence and cascade plans, each compared with a reference implementation or
//! checked against its stated error rate.

#[macro_use]
mod seeded;

use std::time::Duration;

use comfreyroad::quality::{
    self, Candidate, Cell, Constraints, Count, MAX_STEPS, Origin, Score, Subject, Tally,
};
use fastrand::Rng;
use indexmap::IndexMap;

fn origin(index: u8) -> Origin {
    Origin {
        entry: format!("entry-{}", index % 4).into(),
        boot: "b1".into(),
    }
}

fn subject(index: u8) -> Subject {
    Subject {
        route: "draft".into(),
        version: format!("mona@{}", index % 3).into(),
        is_escalated: false,
    }
}

/// The state of the updated cell after each rating of a history.
fn states(history: &[(u8, u8, bool, bool)]) -> Vec<Count> {
    let mut cells: IndexMap<(Origin, Subject), Cell> = IndexMap::new();
    let mut window = 1;
    let mut states = Vec::new();
    for (by, of, is_good, is_later) in history {
        window += u64::from(*is_later);
        let place = (origin(*by), subject(*of));
        let cell = cells.entry(place.clone()).or_default();
        cell.count(window, *is_good);
        states.push(Count {
            origin: place.0,
            subject: place.1,
            cell: *cell,
        });
    }
    states
}

seeded! {
    /// Late, duplicate and reordered counts merge to the same result, which equals a plain count of the ratings.
    fn merge_is_independent_of_order(history: Vec<(u8, u8, bool, bool)>, seed: u64) -> bool {
        let states = states(&history);
        let mut ordered = Tally::default();
        states.iter().for_each(|count| _ = ordered.merge(count));
        let mut mixed: Vec<&Count> = states.iter().chain(&states).collect();
        Rng::with_seed(seed).shuffle(&mut mixed);
        let mut merged = Tally::default();
        mixed.iter().for_each(|count| _ = merged.merge(count));
        let is_counted = (0..3).all(|of| {
            let mut expected = Score::default();
            let own = history.iter().filter(|(_, version, ..)| version % 3 == of);
            own.for_each(|(_, _, is_good, _)| expected.count(*is_good));
            merged.sum(&subject(of)).all() == expected && merged.sum(&subject(of)) == ordered.sum(&subject(of))
        });
        is_counted && merged.hash() == ordered.hash()
    }

    /// The cost of the planned chain is the minimum over all allowed chains.
    fn plan_is_the_cheapest(raw: Vec<(u8, u8, u8, u8)>, target: u8, limit: Option<u8>) -> bool {
        let candidates = candidates(&raw);
        let constraints = Constraints {
            target: f64::from(target % 100) / 100.0,
            rating_cost: 3,
            rating_duration: Duration::from_secs(1),
            time_limit: limit.map(|limit| Duration::from_secs(limit.into())),
        };
        let chain = quality::cheapest_chain(&candidates, &constraints);
        let best = all_chains(&candidates, &constraints)
            .iter()
            .map(|chain| expected_cost(&candidates, chain, &constraints))
            .min_by(f64::total_cmp);
        match best {
            None => chain.is_empty(),
            Some(best) => (expected_cost(&candidates, &chain, &constraints) - best).abs() < 1e-9,
        }
    }
}

fn candidates(raw: &[(u8, u8, u8, u8)]) -> Vec<Candidate> {
    let candidate = |(index, (cost, rated, bad, duration)): (usize, &(u8, u8, u8, u8))| Candidate {
        version: format!("v{index}").into(),
        cost: 1 + u64::from(*cost),
        score: Score {
            rated: u32::from(*rated) * 8,
            good: (u32::from(*rated) * 8).saturating_sub((*bad).into()),
        },
        duration: (*duration > 20).then(|| Duration::from_secs((duration / 16).into())),
    };
    raw.iter().take(5).enumerate().map(candidate).collect()
}

/// All allowed chains, by exhaustive enumeration.
fn all_chains(candidates: &[Candidate], constraints: &Constraints) -> Vec<Vec<usize>> {
    let mut all: Vec<Vec<usize>> = vec![Vec::new()];
    let mut longer = all.clone();
    for _ in 0..MAX_STEPS {
        let mut next = Vec::new();
        for chain in &longer {
            for index in (0..candidates.len()).filter(|index| !chain.contains(index)) {
                next.push([chain.as_slice(), &[index]].concat());
            }
        }
        all.extend(next.iter().cloned());
        longer = next;
    }
    let last_steps = allowed_last_steps(candidates, constraints.target);
    all.retain(|chain| {
        chain.last().is_some_and(|last| last_steps.contains(last))
            && in_time(candidates, chain, constraints)
    });
    all
}

fn allowed_last_steps(candidates: &[Candidate], target: f64) -> Vec<usize> {
    let bound = |index: &usize| quality::lower(candidates[*index].score);
    let is_known = |index: &usize| candidates[*index].score.rated >= 30;
    let all = 0..candidates.len();
    let good: Vec<usize> = all
        .clone()
        .filter(|index| target == 0.0 || (is_known(index) && bound(index) >= target))
        .collect();
    if !good.is_empty() {
        return good;
    }
    let Some(dearest) = all.clone().max_by_key(|index| candidates[*index].cost) else {
        return Vec::new();
    };
    let best = all
        .filter(is_known)
        .max_by(|a, b| bound(a).total_cmp(&bound(b)));
    vec![best.filter(|_| is_known(&dearest)).unwrap_or(dearest)]
}

fn in_time(candidates: &[Candidate], chain: &[usize], constraints: &Constraints) -> bool {
    if chain.len() == 1 {
        return true;
    }
    let ratings = constraints.rating_duration * (chain.len() - 1) as u32;
    let times: Option<Duration> = chain.iter().map(|index| candidates[*index].duration).sum();
    constraints
        .time_limit
        .zip(times)
        .is_some_and(|(limit, times)| times + ratings <= limit)
}

/// The expected cost of a chain, where a step is reached with the lowest failure probability of the steps before it.
fn expected_cost(candidates: &[Candidate], chain: &[usize], constraints: &Constraints) -> f64 {
    let mut cost = 0.0;
    for (place, index) in chain.iter().enumerate() {
        let fails = chain[..place]
            .iter()
            .map(|before| 1.0 - candidates[*before].score.mean());
        let reached = fails.fold(1.0, f64::min);
        let is_last = place + 1 == chain.len();
        let rating = if is_last { 0 } else { constraints.rating_cost };
        cost += reached * (candidates[*index].cost + rating) as f64;
    }
    cost
}

/// The lower bound is below the true rate in about 95 of 100 cases. The coverage is computed exactly, by a sum over all
/// outcomes.
#[test]
fn lower_bound_has_its_stated_coverage() {
    for rate in [0.5_f64, 0.7, 0.8, 0.9, 0.95, 0.99] {
        for rated in [30_u32, 60, 120, 250, 500] {
            // In log space, since the first probabilities underflow a float.
            let mut log_probability = f64::from(rated) * (1.0 - rate).ln();
            let mut covered = 0.0;
            for good in 0..=rated {
                if quality::lower(Score { rated, good }) <= rate {
                    covered += log_probability.exp();
                }
                let step = f64::from(rated - good) / f64::from(good + 1) * rate / (1.0 - rate);
                log_probability += step.ln();
            }
            assert!(covered > 0.94, "rate {rate}, {rated} rated: {covered}");
        }
    }
}

/// If both versions are equally good, evidence that is checked after every rating crosses its limit no more often than
/// its stated error rate.
#[test]
fn evidence_keeps_its_error_rate_under_repeated_checks() {
    let limit = (1.0_f64 / 0.01).ln();
    for (rate, ahead) in [(0.9, 0), (0.9, 500), (0.6, 100), (0.98, 50)] {
        let crossed = (0..400).filter(|seed| max_evidence(*seed, rate, rate, ahead, 600) >= limit);
        let count = crossed.count();
        assert!(count <= 8, "rate {rate}, {ahead} ahead: {count} of 400");
    }
}

/// A clearly worse version is detected within 60 ratings.
#[test]
fn evidence_detects_a_worse_version() {
    let limit = (1.0_f64 / 0.01).ln();
    for seed in 0..40 {
        assert!(
            max_evidence(seed, 0.4, 0.9, 300, 60) >= limit,
            "seed {seed}"
        );
    }
}

/// The same holds against a known rate, with fewer ratings.
#[test]
fn evidence_against_a_known_rate_keeps_its_error_rate_and_detects_a_worse_version() {
    let limit = (1.0_f64 / 0.01).ln();
    let max_evidence = |seed, rate: f64, least, steps| {
        let mut rng = Rng::with_seed(seed);
        let mut score = Score::default();
        let mut step = |greatest: f64, _| {
            score.count(rng.f64() < rate);
            greatest.max(quality::log_evidence_below(score, least))
        };
        (0..steps).fold(f64::MIN, &mut step)
    };
    for rate in [0.3, 0.6, 0.9, 0.98] {
        let crossed = (0..400).filter(|seed| max_evidence(*seed, rate, rate, 600) >= limit);
        let count = crossed.count();
        assert!(count <= 8, "rate {rate}: {count} of 400");
    }
    for seed in 0..40 {
        assert!(max_evidence(seed, 0.05, 0.5, 30) >= limit, "seed {seed}");
    }
}

/// The maximum evidence over `steps` ratings, where the other version starts with `ahead` ratings.
fn max_evidence(seed: u64, rate: f64, other_rate: f64, ahead: u32, steps: u32) -> f64 {
    let mut rng = Rng::with_seed(seed);
    let (mut new, mut old) = (Score::default(), Score::default());
    (0..ahead).for_each(|_| old.count(rng.f64() < other_rate));
    let mut greatest = f64::MIN;
    for _ in 0..steps {
        new.count(rng.f64() < rate);
        old.count(rng.f64() < other_rate);
        greatest = greatest.max(quality::log_evidence(new, old, 0.02));
    }
    greatest
}

/// The hash after counts are removed equals the hash of a tally that never had them.
#[test]
fn hash_matches_after_removal() {
    let history: Vec<(u8, u8, bool, bool)> = (0..60).map(|n| (n, n, n % 2 == 0, false)).collect();
    let states = states(&history);
    let mut tally = Tally::default();
    states.iter().for_each(|count| _ = tally.merge(count));
    tally.retain(|kept| *kept == subject(1));
    let mut expected = Tally::default();
    let kept = states.iter().filter(|count| count.subject == subject(1));
    kept.for_each(|count| _ = expected.merge(count));
    assert_eq!(tally.hash(), expected.hash());
    assert_eq!(tally.sum(&subject(1)), expected.sum(&subject(1)));
    assert_eq!(tally.sum(&subject(0)), Cell::default());
}

/// The number of counts of departed origins is bounded, and the counts of live origins are kept.
#[test]
fn counts_of_departed_origins_are_bounded() {
    let mut tally = Tally::default();
    for index in 0..6_000 {
        let mut cell = Cell::default();
        cell.count(1, true);
        tally.merge(&Count {
            origin: Origin {
                entry: format!("entry-{index}").into(),
                boot: "b1".into(),
            },
            subject: subject(0),
            cell,
        });
    }
    tally.prune(|origin| &*origin.entry == "entry-0");
    assert!(tally.len() <= 4_097, "{}", tally.len());
    assert!(
        tally
            .cell(
                &subject(0),
                &Origin {
                    entry: "entry-0".into(),
                    boot: "b1".into()
                }
            )
            .is_some()
    );
}
