//! At-most-once execution of requests that are not idempotent, exactly-once billing, and truth of "not run".

use std::time::Duration;

use comfreyroad::mechanism::Mechanism;
use comfreyroad::refusal::{Code, Ran};

use crate::bench::{self, Bench, CallSpec, Fault, Operation, Outcome, Step, invariant};
use crate::fault_matrix::violated_without;

const MAYBE: Outcome = Outcome::Refused(Code::Claimed, Ran::Maybe);

fn ready() -> Bench {
    started(Bench::new(bench::seed()))
}

fn started(mut bench: Bench) -> Bench {
    bench.run_for(Duration::from_secs(2));
    bench
}

fn spec(id: &str, operation: Operation) -> CallSpec {
    CallSpec {
        retries: false,
        ..CallSpec::new(id, "author", operation)
    }
}

fn book(bench: &mut Bench, node: usize) -> usize {
    bench.call(node, spec("r1", Operation::Book))
}

fn run_for_ms(bench: &mut Bench, time: u64) {
    bench.run_for(Duration::from_millis(time));
}

/// Sends another attempt of a request and returns its index in the list of calls.
fn retry(bench: &mut Bench, call: usize) -> usize {
    bench.duplicate(call);
    bench.calls.len() - 1
}

fn assert_invariants(bench: &Bench) {
    assert_eq!(invariant::violations(bench), [], "seed {}", bench::seed());
}

#[test]
fn later_attempt_gets_the_recorded_answer() {
    let mut bench = ready();
    let first = book(&mut bench, 0);
    run_for_ms(&mut bench, 1_000);
    bench.kill(0);
    let second = retry(&mut bench, first);
    run_for_ms(&mut bench, 1_000);
    assert_eq!(bench.journal.runs.len(), 1);
    assert!(bench.calls[second].is_answered());
    assert_eq!(bench.calls[second].body, bench.calls[first].body);
    assert_invariants(&bench);
}

#[test]
fn attempt_of_disconnected_caller_answers_the_next() {
    let mut bench = ready();
    let first = book(&mut bench, 0);
    run_for_ms(&mut bench, 40);
    assert_eq!(bench.journal.runs.len(), 1);
    bench.hang_up(first);
    let second = retry(&mut bench, first);
    run_for_ms(&mut bench, 1_000);
    assert_eq!(bench.journal.runs.len(), 1);
    assert!(bench.calls[second].is_answered());
    assert_invariants(&bench);
}

#[test]
fn unclear_outcome_is_reported_to_every_later_attempt() {
    let mut bench = ready();
    let first = book(&mut bench, 0);
    run_for_ms(&mut bench, 40);
    assert_eq!(bench.journal.runs.len(), 1);
    bench.kill(0);
    for _ in 0..3 {
        let later = retry(&mut bench, first);
        run_for_ms(&mut bench, 4_000);
        assert_eq!(bench.calls[later].outcome, MAYBE);
    }
    assert_eq!(bench.journal.runs.len(), 1);
    assert_invariants(&bench);
}

/// The first attempt holds the claim, waits for an upstream and is given up by its caller. The claim must be released
/// so that the second attempt can take it over.
#[test]
fn released_claim_is_taken_over() {
    let mut bench = ready();
    let apps = ["app-0", "app-1", "app-2"].map(Into::into);
    apps.iter().for_each(|app| bench.leave(app));
    run_for_ms(&mut bench, 4_000);
    let first = book(&mut bench, 0);
    run_for_ms(&mut bench, 100);
    let second = retry(&mut bench, first);
    run_for_ms(&mut bench, 100);
    bench.hang_up(first);
    run_for_ms(&mut bench, 7_000);
    // The second attempt took the claim over. Nothing has run, so it is refused as "not run".
    let Outcome::Refused(_, ran) = bench.calls[second].outcome else {
        panic!("{:?}", bench.calls[second].outcome);
    };
    assert_eq!(ran, Ran::No);
    assert_invariants(&bench);
}

/// Retries a booking at an entry that started after the claim had expired on the log: the retention of the log is
/// shorter than the lifetime of request ids.
fn retry_at_an_entry_that_missed_the_claim(mut bench: Bench) -> Bench {
    bench.log.retention = Some(Duration::from_secs(3));
    let first = book(&mut bench, 0);
    run_for_ms(&mut bench, 5_000);
    assert!(bench.calls[first].is_answered());
    bench.restart_after(1, Duration::ZERO);
    run_for_ms(&mut bench, 3_000);
    // The caller does not number its attempts, so this retry looks like a first attempt.
    book(&mut bench, 1);
    run_for_ms(&mut bench, 4_000);
    bench
}

#[test]
fn entry_that_may_have_missed_a_claim_does_not_run() {
    let bench = retry_at_an_entry_that_missed_the_claim(ready());
    assert_eq!(bench.calls.last().map(|call| call.outcome), Some(MAYBE));
    assert!(!violated(&bench).contains(&"at_most_once"));
    let bench = Bench::without(bench::seed(), Mechanism::ClaimHistory);
    let bench = retry_at_an_entry_that_missed_the_claim(started(bench));
    assert!(violated(&bench).contains(&"at_most_once"));
}

fn violated(bench: &Bench) -> Vec<&'static str> {
    let all = invariant::violations(bench);
    all.into_iter().map(|(name, _)| name).collect()
}

#[test]
fn bills_are_appended_once_after_an_unclear_append() {
    let bill_count = |mut bench: Bench| {
        bench.log.lost_acks = 3;
        for index in 0..20 {
            bench.call(0, spec(&format!("r{index}"), Operation::Lookup));
        }
        run_for_ms(&mut bench, 8_000);
        assert_invariants(&bench);
        bench.log.bills().count()
    };
    assert_eq!(bill_count(ready()), 20);
    let without = Bench::without(bench::seed(), Mechanism::AppendReadBack);
    assert!(bill_count(started(without)) > 20);
}

/// A caller receives half an answer through one entry and then the complete answer through another. The totals must
/// count one request at the cost of the complete answer.
#[test]
fn partial_answer_and_its_retry_cost_one_complete_answer() {
    let mut bench = ready();
    let first = bench.call(0, spec("r1", Operation::Chat("draft", 20)));
    run_for_ms(&mut bench, 300);
    assert!(!bench.calls[first].body.is_empty());
    bench.hang_up(first);
    run_for_ms(&mut bench, 300);
    let second = retry(&mut bench, first);
    run_for_ms(&mut bench, 2_000);
    assert!(bench.calls[second].is_answered());
    let costs: Vec<u64> = bench.log.bills().map(|bill| bill.cost).collect();
    assert_eq!(costs.len(), 2);
    for node in &bench.nodes {
        let Some(entry) = &node.entry else { continue };
        let sum = entry
            .state()
            .ledger
            .customer_totals()
            .get("author")
            .copied();
        let sum = sum.unwrap_or_default();
        assert_eq!((sum.requests, Some(sum.cost)), (1, costs.into_iter().max()));
        break;
    }
    assert_invariants(&bench);
}

/// Replaces the whole fleet after the bills have expired on the log and returns the number of requests that a new entry
/// counts.
fn request_total_after_bill_expiry(bench: Bench) -> u64 {
    let mut bench = started(bench);
    bench.log.retention = Some(Duration::from_secs(60));
    for index in 0..10 {
        bench.call(0, spec(&format!("r{index}"), Operation::Lookup));
    }
    run_for_ms(&mut bench, 200_000);
    (0..bench::ENTRIES).for_each(|node| bench.kill(node));
    bench.start(1);
    run_for_ms(&mut bench, 5_000);
    let entry = bench.nodes[1].entry.as_ref();
    let sums = entry.map(|entry| entry.state().ledger.customer_totals().clone());
    let sum = sums.unwrap_or_default().get("author").copied();
    sum.unwrap_or_default().requests
}

#[test]
fn totals_survive_bill_expiry() {
    let short = |settings: &mut comfreyroad::Settings| {
        settings.request_id_lifetime = Duration::from_secs(20);
    };
    assert_eq!(
        request_total_after_bill_expiry(Bench::with(bench::seed(), short)),
        10
    );
    let without = Bench::with(bench::seed(), |settings| {
        short(settings);
        settings.disabled.push(Mechanism::Totals);
    });
    assert_eq!(request_total_after_bill_expiry(without), 0);
}

#[test]
fn ignored_claim_order_is_detected() {
    let violated = violated_without(Mechanism::ClaimOrder, Step::Claiming, &[Fault::Duplicate]);
    assert!(violated.contains(&"at_most_once"), "{violated:?}");
}

#[test]
fn missing_bill_replicas_are_detected() {
    for column in [
        &[Fault::LogOutage, Fault::KillLater],
        &[Fault::CutFromLog, Fault::KillLater],
    ] {
        let violated = violated_without(Mechanism::BillReplicas, Step::Billing, column);
        assert!(
            violated.contains(&"billed_once"),
            "{column:?}: {violated:?}"
        );
    }
}

/// Results of lookups at an entry that reaches neither the log nor a peer for eight seconds.
#[derive(Debug, Default)]
struct Lookups {
    answered: usize,
    unbilled: usize,
    slowest: Duration,
}

fn lookups_without_log_and_peers(bill_wait: Duration, is_killed: bool) -> Lookups {
    let bench = Bench::with(bench::seed(), |settings| settings.bill_wait = bill_wait);
    let mut bench = started(bench);
    bench.network.log_requests_lost.insert(0);
    (1..bench::ENTRIES).for_each(|peer| bench.cut(0, peer));
    let calls: Vec<usize> = (0..20)
        .map(|index| bench.call(0, spec(&format!("r{index}"), Operation::Lookup)))
        .collect();
    let start = bench.now.instant;
    let mut lookups = Lookups::default();
    for step in 0..200 {
        run_for_ms(&mut bench, 100);
        if step == 50 && is_killed {
            bench.restart_after(0, Duration::from_secs(1));
        }
        if step == 80 {
            bench.heal();
        }
        let count = calls
            .iter()
            .filter(|call| bench.calls[**call].is_answered())
            .count();
        if count > lookups.answered {
            lookups.slowest = bench.now.instant - start;
        }
        lookups.answered = count;
    }
    let billed = bench.log.bills().count();
    lookups.unbilled = lookups.answered.saturating_sub(billed);
    lookups
}

/// The end of an answer is delayed by up to `bill_wait` until its bill is stored. With 2 s, bills are lost if an entry
/// is cut off and then killed, but callers wait for less than 3 s; with 60 s no bill is lost, but callers wait.
#[test]
fn bill_wait_trades_latency_for_lost_bills() {
    let (short, long) = (Duration::from_secs(2), Duration::from_secs(60));
    for bill_wait in [short, long] {
        for is_killed in [false, true] {
            let lookups = lookups_without_log_and_peers(bill_wait, is_killed);
            println!("wait {bill_wait:?}, killed {is_killed}: {lookups:?}");
            let is_lost = bill_wait == short && is_killed;
            assert_eq!(lookups.unbilled > 0, is_lost, "{lookups:?}");
            assert!(
                bill_wait == long || lookups.slowest < Duration::from_secs(3),
                "{lookups:?}"
            );
        }
    }
}
