//! Number of answers by a bad version until it is held.

use comfreyroad::Settings;
use comfreyroad::mechanism::Mechanism;

use crate::fleet::{DEGRADATION_S, FIXED_SAMPLE, Fleet, Outcome};
use crate::world::{Truth, World};
use crate::{ENTRIES, RATE, SEEDS, rules};

/// The fraction of good answers of a version, by second of the run.
type Rate = fn(u64) -> f64;

/// Prints the number of answers by a bad version without the regression detector, with it, and with a fixed-sample
/// test.
pub(crate) fn print() {
    println!("\nroll-out at 20 of 100, incumbent good in 0.9, 600 s at {RATE} a second");
    println!(
        "{:>6}{:>6}{:>12}{:>16}{:>16}{:>12}",
        "good",
        "seed",
        "no guard",
        "guard: held at",
        "answers",
        format!("fixed {FIXED_SAMPLE}")
    );
    let rollouts: [(f64, Rate); 3] = [(0.5, |_| 0.5), (0.7, |_| 0.7), (0.8, |_| 0.8)];
    for (good, truth) in rollouts {
        for seed in SEEDS {
            row(good, seed, &world(seed, |_| 0.9, truth, 20), "mona@2", 600);
        }
    }
    println!(
        "\na version in use turns from 0.9 to 0.5 at {DEGRADATION_S} s, another one with 20 of 100 stays at 0.9"
    );
    for seed in SEEDS {
        let degrading = |second| if second < DEGRADATION_S { 0.9 } else { 0.5 };
        row(
            0.5,
            seed,
            &world(seed, degrading, |_| 0.9, 20),
            "mona@1",
            1_300,
        );
    }
}

fn world(seed: u64, first: Rate, second: Rate, share: u32) -> World {
    let version = |id, good, share| Truth {
        id,
        cost: 300,
        good,
        takes_ms: 2_000,
        share,
    };
    World {
        versions: vec![
            version("mona@1", first, 100 - share),
            version("mona@2", second, share),
        ],
        seed,
    }
}

fn row(good: f64, seed: u64, world: &World, id: &str, seconds: u64) {
    let run = |disabled: Vec<Mechanism>| -> Outcome {
        let settings = Settings {
            disabled,
            ..Settings::default()
        };
        let text = rules(world, "mona", "draft", 0.0);
        Fleet::new(world.clone(), ENTRIES, &text, &settings).run(seconds, RATE)
    };
    let with = run(Vec::new());
    let none = run(vec![Mechanism::RegressionDetector]);
    let answers = |outcome: &Outcome| {
        let from = if seconds > DEGRADATION_S {
            &outcome.after_degradation
        } else {
            &outcome.by_version
        };
        from.get(id).copied().unwrap_or_default()
    };
    let exposed = answers(&none);
    let fixed = none
        .at_fixed_sample
        .get(id)
        .filter(|_| seconds <= DEGRADATION_S);
    let at = with
        .held
        .map_or("never".into(), |at| format!("{:.0} s", at.as_secs_f64()));
    let answers = answers(&with);
    println!(
        "{good:>6}{seed:>6}{exposed:>12}{at:>16}{answers:>16}{:>12}",
        fixed.map_or("-".into(), |fixed| fixed.to_string()),
    );
}
