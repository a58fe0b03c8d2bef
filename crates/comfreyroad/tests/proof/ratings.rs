//! Degraded versions and outages of the rating service in the whole fleet.

use std::time::Duration;

use comfreyroad::mechanism::Mechanism;

use crate::bench::{self, Bench, CallSpec, Fault, Operation, Step, invariant};

/// Runs drafts and plans in a fleet with earlier ratings, and injects faults at the first rating after one is skipped.
fn run(mut bench: Bench, column: &[Fault]) -> Bench {
    bench.run_for(Duration::from_secs(2));
    bench.seed_ratings();
    bench.inject_at(Step::Rating, 1, column);
    for index in 0..160_u64 {
        bench.after(Duration::from_millis(index * 80), move |bench| {
            let model = if index % 4 == 0 { "plan" } else { "draft" };
            let model = if index < 3 { "lisa@1" } else { model };
            let spec = CallSpec::new(format!("r{index}"), "band", Operation::Chat(model, 6));
            let node = bench.pick_entry(usize::MAX);
            bench.call(node.min(bench::ENTRIES - 1), spec);
        });
    }
    bench.run_for(Duration::from_secs(20));
    assert!(bench.injected_at.is_some(), "no answer was rated");
    bench
}

/// Counts the dispatches to a version in the last 11 seconds.
fn late_dispatches(bench: &Bench, version: &str) -> usize {
    let late = bench.now.instant - Duration::from_secs(11);
    let dispatches = bench.journal.dispatches.iter();
    dispatches
        .filter(|dispatch| dispatch.at > late && dispatch.version.as_deref() == Some(version))
        .count()
}

#[test]
fn degraded_version_is_held_everywhere() {
    for column in [
        &[Fault::VersionBad][..],
        &[Fault::VersionBad, Fault::Kill],
        &[Fault::VersionBad, Fault::LogOutage],
        &[Fault::VersionBad, Fault::CutFromPeers],
    ] {
        let bench = run(Bench::new(bench::seed()), column);
        assert!(!bench.journal.holds.is_empty(), "{column:?}: not held");
        assert_eq!(invariant::violations(&bench), [], "{column:?}");
        let holds = bench.journal.holds.len();
        assert!(holds <= bench::ENTRIES, "{column:?}: {holds} holds");
    }
}

#[test]
fn degraded_version_stays_in_use_without_the_detector() {
    let bench = Bench::without(bench::seed(), Mechanism::RegressionDetector);
    let bench = run(bench, &[Fault::VersionBad]);
    assert!(bench.journal.holds.is_empty());
    assert!(late_dispatches(&bench, "mona@2") > 20);
}

#[test]
fn rating_outage_loses_no_answer() {
    let bench = run(Bench::new(bench::seed()), &[Fault::RatingOutage]);
    assert_eq!(invariant::violations(&bench), []);
    assert!(bench.calls.iter().all(|call| call.is_answered()));
}

#[test]
fn cascades_run_in_the_fleet() {
    let bench = run(Bench::new(bench::seed()), &[]);
    let of_plan = |call: usize| {
        let mut dispatches = bench.journal.dispatches.iter();
        dispatches
            .any(|dispatch| dispatch.call == call && dispatch.version.as_deref() == Some("mona@2"))
    };
    let is_plan = |call: &usize| {
        matches!(
            bench.calls[*call].spec.operation,
            Operation::Chat("plan", _)
        )
    };
    let plans: Vec<usize> = (0..bench.calls.len()).filter(is_plan).collect();
    let cascaded = plans.iter().filter(|call| of_plan(**call)).count();
    assert!(cascaded * 2 > plans.len(), "{cascaded} of {}", plans.len());
}
