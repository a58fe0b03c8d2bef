//! A request that may not be repeated runs at most once, each request is billed once, and "not run" is true.

use std::time::Duration;

use comfreyroad::mechanism::Mechanism;
use comfreyroad::refusal::{Code, Ran};

use crate::bench::{self, Ask, Bench, CallSpec, Fault, Outcome, Step, promise};
use crate::fault_matrix::broken_without;

const MAYBE: Outcome = Outcome::Refused(Code::Claimed, Ran::Maybe);

fn ready() -> Bench {
    started(Bench::new(bench::seed()))
}

fn started(mut bench: Bench) -> Bench {
    bench.run_for(Duration::from_secs(2));
    bench
}

fn spec(id: &str, ask: Ask) -> CallSpec {
    CallSpec {
        retries: false,
        ..CallSpec::new(id, "author", ask)
    }
}

fn book(bench: &mut Bench, node: usize) -> usize {
    bench.call(node, spec("r1", Ask::Book))
}

fn run_for_ms(bench: &mut Bench, time: u64) {
    bench.run_for(Duration::from_millis(time));
}

/// Another attempt of a request, once the last one has ended; its place in the list of calls.
fn again(bench: &mut Bench, call: usize) -> usize {
    bench.duplicate(call);
    bench.calls.len() - 1
}

fn hold(bench: &Bench) {
    assert_eq!(promise::all(bench), [], "seed {}", bench::seed());
}

#[test]
fn later_attempt_gets_the_recorded_answer() {
    let mut bench = ready();
    let first = book(&mut bench, 0);
    run_for_ms(&mut bench, 1_000);
    bench.kill(0);
    let second = again(&mut bench, first);
    run_for_ms(&mut bench, 1_000);
    assert_eq!(bench.journal.runs.len(), 1);
    assert!(bench.calls[second].is_answered());
    assert_eq!(bench.calls[second].body, bench.calls[first].body);
    hold(&bench);
}

#[test]
fn attempt_whose_caller_is_gone_still_answers_the_next() {
    let mut bench = ready();
    let first = book(&mut bench, 0);
    run_for_ms(&mut bench, 40);
    assert_eq!(bench.journal.runs.len(), 1);
    bench.hang_up(first);
    let second = again(&mut bench, first);
    run_for_ms(&mut bench, 1_000);
    assert_eq!(bench.journal.runs.len(), 1);
    assert!(bench.calls[second].is_answered());
    hold(&bench);
}

#[test]
fn doubt_stays_for_every_later_attempt() {
    let mut bench = ready();
    let first = book(&mut bench, 0);
    run_for_ms(&mut bench, 40);
    assert_eq!(bench.journal.runs.len(), 1);
    bench.kill(0);
    for _ in 0..3 {
        let later = again(&mut bench, first);
        run_for_ms(&mut bench, 4_000);
        assert_eq!(bench.calls[later].outcome, MAYBE);
    }
    assert_eq!(bench.journal.runs.len(), 1);
    hold(&bench);
}

/// A caller's first attempt waits for an upstream and gives up; the second one may run.
#[test]
fn claim_given_back_is_taken_over() {
    let mut bench = ready();
    let apps = ["app-0", "app-1", "app-2"].map(Into::into);
    apps.iter().for_each(|app| bench.leave(app));
    run_for_ms(&mut bench, 4_000);
    let first = book(&mut bench, 0);
    run_for_ms(&mut bench, 100);
    let second = again(&mut bench, first);
    run_for_ms(&mut bench, 100);
    bench.hang_up(first);
    run_for_ms(&mut bench, 7_000);
    // The second held the claim in its turn: nothing has run, and it can say so.
    let Outcome::Refused(_, ran) = bench.calls[second].outcome else {
        panic!("{:?}", bench.calls[second].outcome);
    };
    assert_eq!(ran, Ran::No);
    hold(&bench);
}

/// The log keeps less than the horizon, and the entry that retries has started after the claim was dropped.
fn retry_at_an_entry_that_missed_the_claim(mut bench: Bench) -> Bench {
    bench.log.keep = Some(Duration::from_secs(3));
    let first = book(&mut bench, 0);
    run_for_ms(&mut bench, 5_000);
    assert!(bench.calls[first].is_answered());
    bench.restart_after(1, Duration::ZERO);
    run_for_ms(&mut bench, 3_000);
    // Its caller does not count attempts.
    book(&mut bench, 1);
    run_for_ms(&mut bench, 4_000);
    bench
}

#[test]
fn late_reader_does_not_run_what_it_may_have_missed() {
    let bench = retry_at_an_entry_that_missed_the_claim(ready());
    assert_eq!(bench.calls.last().map(|call| call.outcome), Some(MAYBE));
    assert!(!broken(&bench).contains(&"at_most_once"));
    let bench = Bench::without(bench::seed(), Mechanism::ClaimHistory);
    let bench = retry_at_an_entry_that_missed_the_claim(started(bench));
    assert!(broken(&bench).contains(&"at_most_once"));
}

fn broken(bench: &Bench) -> Vec<&'static str> {
    let all = promise::all(bench);
    all.into_iter().map(|(name, _)| name).collect()
}

#[test]
fn bills_are_appended_once_after_an_unclear_append() {
    let copies = |mut bench: Bench| {
        bench.log.lose_acks = 3;
        for index in 0..20 {
            bench.call(0, spec(&format!("r{index}"), Ask::Look));
        }
        run_for_ms(&mut bench, 8_000);
        hold(&bench);
        bench.log.bills().count()
    };
    assert_eq!(copies(ready()), 20);
    let without = Bench::without(bench::seed(), Mechanism::AppendReadBack);
    assert!(copies(started(without)) > 20);
}

/// A caller gets half an answer through one entry and then the whole through another.
#[test]
fn broken_answer_and_its_retry_cost_one_whole_answer() {
    let mut bench = ready();
    let first = bench.call(0, spec("r1", Ask::Chat("draft", 20)));
    run_for_ms(&mut bench, 300);
    assert!(!bench.calls[first].body.is_empty());
    bench.hang_up(first);
    run_for_ms(&mut bench, 300);
    let second = again(&mut bench, first);
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
    hold(&bench);
}

/// The whole fleet is replaced when the first bills have long been dropped.
fn sums_after_the_bills_are_gone(bench: Bench) -> u64 {
    let mut bench = started(bench);
    bench.log.keep = Some(Duration::from_secs(60));
    for index in 0..10 {
        bench.call(0, spec(&format!("r{index}"), Ask::Look));
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
fn sums_outlive_the_bills() {
    let short = |settings: &mut comfreyroad::Settings| {
        settings.request_id_lifetime = Duration::from_secs(20);
    };
    assert_eq!(
        sums_after_the_bills_are_gone(Bench::with(bench::seed(), short)),
        10
    );
    let without = Bench::with(bench::seed(), |settings| {
        short(settings);
        settings.disabled.push(Mechanism::Totals);
    });
    assert_eq!(sums_after_the_bills_are_gone(without), 0);
}

#[test]
fn cells_notice_that_the_order_of_claims_is_ignored() {
    let broken = broken_without(Mechanism::ClaimOrder, Step::Claiming, &[Fault::Duplicate]);
    assert!(broken.contains(&"at_most_once"), "{broken:?}");
}

#[test]
fn cells_notice_that_no_peer_keeps_bills() {
    for column in [
        &[Fault::LogOutage, Fault::KillLater],
        &[Fault::CutFromLog, Fault::KillLater],
    ] {
        let broken = broken_without(Mechanism::BillReplicas, Step::Billing, column);
        assert!(broken.contains(&"billed_once"), "{column:?}: {broken:?}");
    }
}

/// What became of lookups at an entry that reaches neither the log nor a peer for eight seconds.
#[derive(Debug, Default)]
struct Ends {
    answered: usize,
    unbilled: usize,
    slowest: Duration,
}

fn ends_without_log_and_peers(bill_wait: Duration, is_killed: bool) -> Ends {
    let bench = Bench::with(bench::seed(), |settings| settings.bill_wait = bill_wait);
    let mut bench = started(bench);
    bench.wire.log_cut.insert(0);
    (1..bench::ENTRIES).for_each(|peer| bench.cut(0, peer));
    let calls: Vec<usize> = (0..20)
        .map(|index| bench.call(0, spec(&format!("r{index}"), Ask::Look)))
        .collect();
    let start = bench.now.instant;
    let mut ends = Ends::default();
    for step in 0..200 {
        run_for_ms(&mut bench, 100);
        if step == 50 && is_killed {
            bench.restart_after(0, Duration::from_secs(1));
        }
        if step == 80 {
            bench.mend();
        }
        let count = calls
            .iter()
            .filter(|call| bench.calls[**call].is_answered())
            .count();
        if count > ends.answered {
            ends.slowest = bench.now.instant - start;
        }
        ends.answered = count;
    }
    let billed = bench.log.bills().count();
    ends.unbilled = ends.answered.saturating_sub(billed);
    ends
}

/// The end of an answer is held for two seconds. Held for longer, fewer bills are lost with an entry that is cut off
/// and then dies, but callers wait.
#[test]
fn holding_the_end_of_an_answer_is_weighed() {
    let (short, long) = (Duration::from_secs(2), Duration::from_secs(60));
    for bill_wait in [short, long] {
        for is_killed in [false, true] {
            let ends = ends_without_log_and_peers(bill_wait, is_killed);
            println!("wait {bill_wait:?}, killed {is_killed}: {ends:?}");
            let is_lost = bill_wait == short && is_killed;
            assert_eq!(ends.unbilled > 0, is_lost, "{ends:?}");
            assert!(
                bill_wait == long || ends.slowest < Duration::from_secs(3),
                "{ends:?}"
            );
        }
    }
}
