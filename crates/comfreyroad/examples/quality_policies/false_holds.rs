//! False positive rate of the regression detector: how often it holds a version that is as good as the previous one.

use comfreyroad::quality::{Score, log_evidence};
use fastrand::Rng;

/// Number of runs of each case.
const RUNS: u64 = 1_000;
/// Number of evaluations in each run, one after each rating.
const EVALUATIONS: u32 = 1_500;
/// Margin of the regression detector.
const MARGIN: f64 = comfreyroad::controller::regression::GOOD_RATE_MARGIN;

/// Prints the fraction of runs in which an equally good version is held: by the sequential test of the regression
/// detector, and by a fixed-sample test that is evaluated after each rating.
pub(crate) fn print() {
    println!("\nfalse holds in {RUNS} runs of {EVALUATIONS} evaluations, stated error rate 0.01");
    println!(
        "{:>8}{:>10}{:>12}{:>16}",
        "good", "prior", "detector", "fixed sample"
    );
    for (good_rate, prior_ratings) in [(0.6, 0), (0.9, 0), (0.9, 500), (0.97, 500)] {
        let (mut detector, mut single) = (0, 0);
        for seed in 0..RUNS {
            let held = run(seed, good_rate, prior_ratings);
            detector += u32::from(held.0);
            single += u32::from(held.1);
        }
        let fraction = |count: u32| f64::from(count) / RUNS as f64;
        println!(
            "{good_rate:>8}{prior_ratings:>10}{:>12}{:>16}",
            fraction(detector),
            fraction(single)
        );
    }
}

/// Returns whether the version is held at any evaluation, by the detector and by the fixed-sample test.
fn run(seed: u64, good_rate: f64, prior_ratings: u32) -> (bool, bool) {
    let mut rng = Rng::with_seed(seed);
    let (mut new, mut old) = (Score::default(), Score::default());
    (0..prior_ratings).for_each(|_| old.count(rng.f64() < good_rate));
    let mut held = (false, false);
    for _ in 0..EVALUATIONS {
        new.count(rng.f64() < good_rate);
        old.count(rng.f64() < good_rate);
        held.0 |= log_evidence(new, old, MARGIN) >= 100.0_f64.ln();
        held.1 |= new.rated >= 20 && is_worse_fixed_sample(new, old);
    }
    held
}

/// Fixed-sample test of two proportions with a significance level of 0.01.
fn is_worse_fixed_sample(new: Score, old: Score) -> bool {
    const Z: f64 = 2.326;
    let (new_count, old_count) = (f64::from(new.rated), f64::from(old.rated));
    let pooled = f64::from(new.good + old.good) / (new_count + old_count);
    let standard_error = (pooled * (1.0 - pooled) * (1.0 / new_count + 1.0 / old_count)).sqrt();
    let difference = f64::from(old.good) / old_count - f64::from(new.good) / new_count;
    difference > Z * standard_error && standard_error > 0.0
}
