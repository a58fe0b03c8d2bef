//! Compares policies by their cost at a quality target and by their exposure to bad versions, over several seeds.
//!
//! `cargo run --release -p comfreyroad --example quality_policies`

mod catalog;
mod exposure;
mod false_holds;
mod fleet;

use std::fmt::Write;

use comfreyroad::Settings;

use catalog::{Catalog, Version};
use fleet::Fleet;

/// Seeds of the runs.
const SEEDS: std::ops::Range<u64> = 1..7;
/// Duration of a run, in seconds.
const RUN_SECONDS: u64 = 600;
/// Number of requests per second.
const REQUESTS_PER_SECOND: u64 = 10;
/// Number of entries.
const ENTRIES: usize = 4;
/// Cost of a rating, in millionths.
const RATING_COST: u64 = 10;

fn main() {
    print_costs();
    exposure::print();
    false_holds::print();
}

/// Returns three models that differ in cost and quality.
fn catalog(seed: u64) -> Catalog {
    let version = |id, cost, good_rate, latency_ms| Version {
        id,
        cost,
        good_rate,
        latency_ms,
        share: 100,
    };
    Catalog {
        versions: vec![
            version("ada@1", 100, |_| 0.62, 2_000),
            version("bea@1", 300, |_| 0.84, 3_000),
            version("cleo@1", 1_000, |_| 0.95, 5_000),
        ],
        seed,
    }
}

/// Renders the rules file.
fn rules(catalog: &Catalog, models: &str, class: &str, quality: f64) -> String {
    let mut text = String::from("format 1 after 0 # asked by ada\n");
    let mut line = |rule: String| writeln!(text, "{rule} # asked by ada").unwrap_or_default();
    line("zone a state=in".into());
    line("pool drafting kind=engine bears=1000 cold=1000".into());
    for Version {
        id, cost, share, ..
    } in &catalog.versions
    {
        line(format!(
            "version {id} pool=drafting cost={cost} share={share}"
        ));
    }
    line(format!(
        "route plan models={models} class={class} quality={quality}"
    ));
    line("firm inkwell".into());
    let allowed: Vec<String> = models
        .split(',')
        .map(|model| format!("{model}@*"))
        .collect();
    let key = "01".repeat(32);
    line(format!(
        "customer c1 firm=inkwell key={key} allow={}",
        allowed.join(",")
    ));
    text
}

fn print_costs() {
    println!(
        "target 0.9, {RUN_SECONDS} s at {REQUESTS_PER_SECOND} requests/s, {ENTRIES} entries, from a cold start"
    );
    println!(
        "{:28}{:>6}{:>10}{:>14}{:>14}{:>10}",
        "policy", "seed", "good", "cost/answer", "cost/good", "refused"
    );
    let policies = [
        ("always cheapest", "ada,bea,cleo", "draft", 0.0),
        ("always dearest", "cleo", "draft", 0.0),
        (
            "best single, target 0.9",
            "ada,bea,cleo",
            "interactive",
            0.9,
        ),
        ("cascade, target 0.9", "ada,bea,cleo", "draft", 0.9),
        ("always the middle model", "bea", "draft", 0.0),
        (
            "best single, target 0.8",
            "ada,bea,cleo",
            "interactive",
            0.8,
        ),
        ("cascade, target 0.8", "ada,bea,cleo", "draft", 0.8),
    ];
    for (name, models, class, quality) in policies {
        let mut sums = (0.0, 0.0, 0.0);
        for seed in SEEDS {
            let catalog = catalog(seed);
            let settings = Settings {
                rating_cost: RATING_COST,
                ..Settings::default()
            };
            let text = rules(&catalog, models, class, quality);
            let outcome = Fleet::new(catalog, ENTRIES, &text, &settings)
                .run(RUN_SECONDS, REQUESTS_PER_SECOND);
            let answers = outcome.answers() as f64;
            let good_share = outcome.good as f64 / answers;
            let per_answer = outcome.cost as f64 / answers;
            println!(
                "{name:28}{seed:>6}{good_share:>10.3}{per_answer:>14.1}{:>14.1}{:>10}",
                per_answer / good_share,
                outcome.refused
            );
            sums = (
                sums.0 + good_share,
                sums.1 + per_answer,
                sums.2 + per_answer / good_share,
            );
        }
        let count = SEEDS.count() as f64;
        let (good_share, per_answer, per_good) = (sums.0 / count, sums.1 / count, sums.2 / count);
        println!(
            "{name:28}{:>6}{good_share:>10.3}{per_answer:>14.1}{per_good:>14.1}",
            "mean"
        );
    }
}
