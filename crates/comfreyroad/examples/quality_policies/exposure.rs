//! Number of answers by a bad version until it is held.

use comfreyroad::Settings;
use comfreyroad::mechanism::Mechanism;

use crate::catalog::{Catalog, Version};
use crate::fleet::{DEGRADATION_S, FIXED_SAMPLE, Fleet, Outcome};
use crate::{ENTRIES, REQUESTS_PER_SECOND, SEEDS, rules};

/// The fraction of good answers of a version, by second of the run.
type Rate = fn(u64) -> f64;

/// Prints the number of answers by a bad version without the regression detector, with it, and with a fixed-sample
/// test.
pub(crate) fn print() {
    println!(
        "\nrollout with 20 % of new sessions, good rate of the incumbent 0.9, 600 s at {REQUESTS_PER_SECOND} requests/s"
    );
    println!(
        "{:>6}{:>6}{:>12}{:>16}{:>16}{:>12}",
        "good",
        "seed",
        "no detector",
        "held at",
        "answers",
        format!("fixed {FIXED_SAMPLE}")
    );
    let rollouts: [(f64, Rate); 3] = [(0.5, |_| 0.5), (0.7, |_| 0.7), (0.8, |_| 0.8)];
    for (good, rate) in rollouts {
        for seed in SEEDS {
            print_row(good, seed, &catalog(seed, |_| 0.9, rate, 20), "mona@2", 600);
        }
    }
    println!(
        "\nthe good rate of a version in use drops from 0.9 to 0.5 at {DEGRADATION_S} s, another one with 20 % of new sessions stays at 0.9"
    );
    for seed in SEEDS {
        let degrading = |second| if second < DEGRADATION_S { 0.9 } else { 0.5 };
        print_row(
            0.5,
            seed,
            &catalog(seed, degrading, |_| 0.9, 20),
            "mona@1",
            1_300,
        );
    }
}

fn catalog(seed: u64, first: Rate, second: Rate, share: u32) -> Catalog {
    let version = |id, good_rate, share| Version {
        id,
        cost: 300,
        good_rate,
        latency_ms: 2_000,
        share,
    };
    Catalog {
        versions: vec![
            version("mona@1", first, 100 - share),
            version("mona@2", second, share),
        ],
        seed,
    }
}

fn print_row(good: f64, seed: u64, catalog: &Catalog, id: &str, seconds: u64) {
    let run = |disabled: Vec<Mechanism>| -> Outcome {
        let settings = Settings {
            disabled,
            ..Settings::default()
        };
        let text = rules(catalog, "mona", "draft", 0.0);
        Fleet::new(catalog.clone(), ENTRIES, &text, &settings).run(seconds, REQUESTS_PER_SECOND)
    };
    let guarded = run(Vec::new());
    let unguarded = run(vec![Mechanism::RegressionDetector]);
    let answers = |outcome: &Outcome| {
        let counts = if seconds > DEGRADATION_S {
            &outcome.after_degradation
        } else {
            &outcome.by_version
        };
        counts.get(id).copied().unwrap_or_default()
    };
    let unguarded_answers = answers(&unguarded);
    let fixed = unguarded
        .at_fixed_sample
        .get(id)
        .filter(|_| seconds <= DEGRADATION_S);
    let held_at = guarded
        .held_at
        .map_or("never".into(), |at| format!("{:.0} s", at.as_secs_f64()));
    let answers = answers(&guarded);
    println!(
        "{good:>6}{seed:>6}{unguarded_answers:>12}{held_at:>16}{answers:>16}{:>12}",
        fixed.map_or("-".into(), |fixed| fixed.to_string()),
    );
}
