//! Bad versions and ratings that fail to come, in the whole fleet.

use std::time::Duration;

use comfreyroad::mechanism::Mechanism;

use crate::bench::{self, Ask, Bench, CallSpec, Fault, Step, promise};

/// A fleet whose entries know what versions are worth, with some drafts and plans every moment.
fn run(mut bench: Bench, column: &[Fault]) -> Bench {
    bench.run_for(Duration::from_secs(2));
    bench.teach();
    bench.arm(Step::Rating, 1, column);
    for index in 0..160_u64 {
        bench.after(Duration::from_millis(index * 80), move |bench| {
            let model = if index % 4 == 0 { "plan" } else { "draft" };
            let model = if index < 3 { "lisa@1" } else { model };
            let spec = CallSpec::new(format!("r{index}"), "band", Ask::Chat(model, 6));
            let node = bench.balance(usize::MAX);
            bench.call(node.min(bench::ENTRIES - 1), spec);
        });
    }
    bench.run_for(Duration::from_secs(20));
    assert!(bench.struck.is_some(), "no answer was rated");
    bench
}

/// Sendings of a version in the last seconds.
fn late_sendings(bench: &Bench, version: &str) -> usize {
    let late = bench.now.instant - Duration::from_secs(11);
    let sendings = bench.journal.sendings.iter();
    sendings
        .filter(|sending| sending.at > late && sending.version.as_deref() == Some(version))
        .count()
}

#[test]
fn a_version_that_turns_bad_is_held_everywhere() {
    for column in [
        &[Fault::VersionBad][..],
        &[Fault::VersionBad, Fault::Kill],
        &[Fault::VersionBad, Fault::LogOutage],
        &[Fault::VersionBad, Fault::CutFromPeers],
    ] {
        let bench = run(Bench::new(bench::seed()), column);
        assert!(!bench.journal.holds.is_empty(), "{column:?}: not held");
        assert_eq!(promise::all(&bench), [], "{column:?}");
        let holds = bench.journal.holds.len();
        assert!(holds <= bench::ENTRIES, "{column:?}: {holds} holds");
    }
}

#[test]
fn without_the_guard_it_goes_on() {
    let bench = Bench::without(bench::seed(), Mechanism::RegressionDetector);
    let bench = run(bench, &[Fault::VersionBad]);
    assert!(bench.journal.holds.is_empty());
    assert!(late_sendings(&bench, "mona@2") > 20);
}

#[test]
fn ratings_that_stop_coming_cost_no_answer() {
    let bench = run(Bench::new(bench::seed()), &[Fault::RatingOutage]);
    assert_eq!(promise::all(&bench), []);
    assert!(bench.calls.iter().all(|call| call.is_answered()));
}

#[test]
fn chains_run_in_the_fleet() {
    let bench = run(Bench::new(bench::seed()), &[]);
    let of_plan = |call: usize| {
        let mut sendings = bench.journal.sendings.iter();
        sendings.any(|sending| sending.call == call && sending.version.as_deref() == Some("mona@2"))
    };
    let is_plan = |call: &usize| matches!(bench.calls[*call].spec.ask, Ask::Chat("plan", _));
    let plans: Vec<usize> = (0..bench.calls.len()).filter(is_plan).collect();
    let cascaded = plans.iter().filter(|call| of_plan(**call)).count();
    assert!(cascaded * 2 > plans.len(), "{cascaded} of {}", plans.len());
}
