//! Tests of the invariant checks: each check must detect a violation in a manipulated journal, because no entry can be
//! made to cause some of these violations.

use std::time::Duration;

use comfreyroad::refusal::{Code, Ran};

use crate::bench::{self, Bench, CallSpec, Hold, Operation, Outcome, invariant};

/// Returns a run in which one chat and one booking were answered.
fn answered() -> Bench {
    let mut bench = Bench::new(bench::seed());
    bench.run_for(Duration::from_secs(2));
    bench.call(
        0,
        CallSpec::new("r1", "author", Operation::Chat("draft", 10)),
    );
    bench.call(1, CallSpec::new("r2", "author", Operation::Book));
    bench.run_for(Duration::from_secs(3));
    assert_eq!(invariant::violations(&bench), []);
    bench
}

fn assert_violated(bench: &Bench, name: &str) {
    let violations = invariant::violations(bench);
    assert!(
        violations.iter().any(|(violated, _)| *violated == name),
        "{violations:?}"
    );
}

#[test]
fn false_not_run_is_detected() {
    let mut bench = answered();
    bench.calls[1].outcome = Outcome::Refused(Code::Deadline, Ran::No);
    assert_violated(&bench, "not_run");
}

#[test]
fn reverted_generation_is_detected() {
    let mut bench = answered();
    bench.journal.applied[0].generation = 9;
    let instance = bench.journal.applied[0].instance;
    bench.journal.applied.push(bench::Applied {
        instance,
        generation: 1,
    });
    assert_violated(&bench, "in_force");
}

#[test]
fn truncated_answer_is_detected() {
    let mut bench = answered();
    bench.calls[0].body.pop();
    assert_violated(&bench, "whole_answer");
}

#[test]
fn disallowed_version_is_detected() {
    let mut bench = answered();
    bench.journal.dispatches[0].customer = "band".into();
    bench.journal.dispatches[0].version = Some("mona@1".into());
    assert_violated(&bench, "allowed");
}

#[test]
fn held_version_is_detected() {
    let mut bench = answered();
    let dispatch = &bench.journal.dispatches[0];
    let version = dispatch
        .version
        .clone()
        .expect("a chat is sent to a version");
    let at = dispatch.at - Duration::from_secs(5);
    bench.journal.accepted.clear();
    bench.journal.holds.push(Hold {
        at,
        version,
        is_lifted: false,
    });
    assert_violated(&bench, "held");
}
