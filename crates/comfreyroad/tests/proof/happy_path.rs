//! Basic request paths: without faults, or with a single one.

use std::time::Duration;

use comfreyroad::rules::Verdict;

use crate::bench::{self, Bench, CallSpec, Operation, invariant};

fn ready() -> Bench {
    let mut bench = Bench::new(bench::seed());
    bench.run_for(Duration::from_secs(2));
    bench
}

fn assert_invariants(bench: &Bench) {
    assert_eq!(invariant::violations(bench), [], "seed {}", bench::seed());
}

fn run_for_ms(bench: &mut Bench, time: u64) {
    bench.run_for(Duration::from_millis(time));
}

#[test]
fn entries_become_ready() {
    let bench = ready();
    assert!(bench.nodes.iter().all(|node| node.ready));
}

#[test]
fn chat_answer_is_complete() {
    let mut bench = ready();
    let call = bench.call(
        0,
        CallSpec::new("r1", "author", Operation::Chat("draft", 30)),
    );
    run_for_ms(&mut bench, 2_000);
    assert!(bench.calls[call].is_answered());
    assert!(!bench.calls[call].body.is_empty());
    assert_invariants(&bench);
}

#[test]
fn booking_runs_once_through_two_entries() {
    let mut bench = ready();
    let first = bench.call(0, CallSpec::new("r1", "author", Operation::Book));
    bench.duplicate(first);
    run_for_ms(&mut bench, 4_000);
    assert_eq!(bench.journal.runs.len(), 1);
    assert!(bench.calls.iter().any(|call| call.is_answered()));
    assert_invariants(&bench);
}

#[test]
fn lookup_is_answered() {
    let mut bench = ready();
    let call = bench.call(1, CallSpec::new("r1", "band", Operation::Lookup));
    run_for_ms(&mut bench, 1_000);
    assert!(bench.calls[call].is_answered());
    assert_invariants(&bench);
}

#[test]
fn one_of_concurrent_publishes_is_accepted() {
    let mut bench = ready();
    let won = bench.edit_after(1, "mona", |plan| plan.is_withdrawn = true);
    let lost = bench.edit_after(1, "kaisu", |plan| _ = plan.zones_out.insert("a"));
    assert_eq!(won, Some(Verdict::Accepted { generation: 2 }));
    assert!(matches!(lost, Some(Verdict::Stale { in_force: 2, .. })));
    run_for_ms(&mut bench, 1_000);
    assert!((0..bench::ENTRIES).all(|node| bench.generation(node) == 2));
    assert_invariants(&bench);
}

#[test]
fn shutdown_finishes_a_stream() {
    let mut bench = ready();
    let call = bench.call(
        2,
        CallSpec::new("r1", "author", Operation::Chat("draft", 100)),
    );
    run_for_ms(&mut bench, 200);
    bench.shut_down(2);
    run_for_ms(&mut bench, 6_000);
    assert!(bench.calls[call].is_answered());
    assert!(bench.nodes[2].entry.is_none());
    assert_invariants(&bench);
}

#[test]
fn killed_entry_comes_back_with_the_newest_rules() {
    let mut bench = ready();
    bench.restart_after(1, Duration::from_secs(1));
    _ = bench.edit("mona", |plan| plan.is_withdrawn = true);
    run_for_ms(&mut bench, 4_000);
    assert_eq!(bench.generation(1), 2);
    assert_invariants(&bench);
}

/// A request that waits for longer than new rules take to come into force everywhere must be checked against the rules
/// in force when it leaves the queue, not against those of its admission.
#[test]
fn queued_request_follows_the_newest_rules() {
    let mut bench = ready();
    _ = bench.edit("mona", |plan| plan.zones_out.extend(bench::ZONES));
    run_for_ms(&mut bench, 500);
    let spec = CallSpec::new("r1", "author", Operation::Chat("mona@1", 20));
    let call = bench.call(0, spec);
    run_for_ms(&mut bench, 100);
    _ = bench.edit("mona", |plan| plan.is_withdrawn = true);
    run_for_ms(&mut bench, 4_500);
    _ = bench.edit("mona", |plan| plan.zones_out.clear());
    run_for_ms(&mut bench, 3_000);
    assert!(!bench.calls[call].is_answered());
    assert!(bench.journal.dispatches.is_empty());
    assert_invariants(&bench);
}

/// An entry that starts after the records of the rules have expired on the log must get the rules from its peers.
#[test]
fn rules_survive_record_expiry() {
    let mut bench = ready();
    bench.kill(0);
    _ = bench.edit("mona", |_| {});
    bench.log.retention = Some(Duration::from_secs(1));
    run_for_ms(&mut bench, 2_000);
    bench.start(0);
    run_for_ms(&mut bench, 4_000);
    assert_eq!(bench.generation(0), 2);
}

/// An entry that starts without any live peer must get the rules from the log, although the first publish has expired:
/// checkpoints repeat the rules.
#[test]
fn rules_outlive_the_fleet() {
    let mut bench = ready();
    bench.log.retention = Some(Duration::from_secs(300));
    run_for_ms(&mut bench, 400_000);
    (0..bench::ENTRIES).for_each(|node| bench.kill(node));
    bench.start(0);
    run_for_ms(&mut bench, 4_000);
    assert_eq!(bench.generation(0), 1);
}
