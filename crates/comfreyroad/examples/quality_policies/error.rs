//! How often a version is held that is as good as the one before it.

use comfreyroad::quality::{Score, log_evidence};
use fastrand::Rng;

/// Runs of each case.
const RUNS: u64 = 1_000;
/// Looks of each run, one after each rating.
const LOOKS: u32 = 1_500;
/// The guard's margin.
const MARGIN: f64 = comfreyroad::controller::regression::GOOD_RATE_MARGIN;

/// Prints the part of runs in which a version that is as good is held: by the guard's test, and by a test for a single
/// look that is looked at after each rating.
pub(crate) fn print() {
    println!("\nfalse holds in {RUNS} runs of {LOOKS} looks, stated 0.01");
    println!(
        "{:>8}{:>10}{:>12}{:>16}",
        "good", "ahead", "guard", "single look"
    );
    for (good, ahead) in [(0.6, 0), (0.9, 0), (0.9, 500), (0.97, 500)] {
        let (mut guard, mut single) = (0, 0);
        for seed in 0..RUNS {
            let held = run(seed, good, ahead);
            guard += u32::from(held.0);
            single += u32::from(held.1);
        }
        let part = |count: u32| f64::from(count) / RUNS as f64;
        println!(
            "{good:>8}{ahead:>10}{:>12}{:>16}",
            part(guard),
            part(single)
        );
    }
}

fn run(seed: u64, good: f64, ahead: u32) -> (bool, bool) {
    let mut rng = Rng::with_seed(seed);
    let (mut new, mut old) = (Score::default(), Score::default());
    (0..ahead).for_each(|_| old.count(rng.f64() < good));
    let mut held = (false, false);
    for _ in 0..LOOKS {
        new.count(rng.f64() < good);
        old.count(rng.f64() < good);
        held.0 |= log_evidence(new, old, MARGIN) >= 100.0_f64.ln();
        held.1 |= new.rated >= 20 && is_worse_once(new, old);
    }
    held
}

/// A test of two rates for a single look, at 0.01.
fn is_worse_once(new: Score, old: Score) -> bool {
    const Z: f64 = 2.326;
    let (new_count, old_count) = (f64::from(new.rated), f64::from(old.rated));
    let pooled = f64::from(new.good + old.good) / (new_count + old_count);
    let spread = (pooled * (1.0 - pooled) * (1.0 / new_count + 1.0 / old_count)).sqrt();
    let gap = f64::from(old.good) / old_count - f64::from(new.good) / new_count;
    gap > Z * spread && spread > 0.0
}
