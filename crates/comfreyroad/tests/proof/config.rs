//! Configuration and freshness of an entry that is cut off, paused or behind, and tests that each mechanism is needed.
//!
//! A cell is a scenario of faults. With all mechanisms it must violate no invariant; with any one of its listed
//! mechanisms disabled it must violate some invariant.

use std::time::Duration;

use comfreyroad::controller::rules::Freshness;
use comfreyroad::mechanism::Mechanism;
use comfreyroad::refusal::{Code, Ran};

use crate::bench::{self, Bench, CallSpec, ENTRIES, Operation, Outcome, invariant};

/// A scenario of faults.
struct Cell {
    name: &'static str,
    run: fn(&mut Bench) -> Vec<String>,
    /// Mechanisms that the cell needs: without any one of them it fails.
    needs: &'static [Mechanism],
}

const CELLS: &[Cell] = &[
    Cell {
        name: "an entry cut off from log and peers",
        run: cut_off,
        needs: &[Mechanism::Staleness],
    },
    Cell {
        name: "a partition with the log on the smaller side",
        run: smaller_side,
        needs: &[Mechanism::Staleness, Mechanism::ZoneAgreement],
    },
    Cell {
        name: "a partition with the log on the side of one entry of a zone",
        run: part_of_a_zone,
        needs: &[Mechanism::Staleness, Mechanism::ZoneAgreement],
    },
    Cell {
        name: "an outage in which an entry dies, until the VM list drops it",
        run: outage_and_death,
        needs: &[Mechanism::ZoneAgreement],
    },
    Cell {
        name: "an outage of the log, and an entry that starts in it",
        run: outage,
        needs: &[Mechanism::RulesGossip],
    },
    Cell {
        name: "an outage, then a partition with the log on the smaller side",
        run: outage_then_partition,
        needs: &[Mechanism::Staleness, Mechanism::ZoneAgreement],
    },
    Cell {
        name: "a paused entry with old frames in its queue",
        run: paused,
        needs: &[Mechanism::ConfirmationAge],
    },
    Cell {
        name: "frames late by seconds, and an entry without the log",
        run: late_frames,
        needs: &[Mechanism::ConfirmationAge],
    },
    Cell {
        name: "records expired while an entry was away",
        run: missed_records,
        needs: &[Mechanism::GapDetection],
    },
    Cell {
        name: "writers of checkpoints die, then all entries",
        run: writers_die,
        needs: &[Mechanism::Checkpoints],
    },
    Cell {
        name: "rules change while requests wait",
        run: queued,
        needs: &[Mechanism::SendCheck],
    },
];

#[test]
fn config_cells_hold() {
    for cell in CELLS {
        let failures = run(cell, &[]);
        assert!(
            failures.is_empty(),
            "{}, seed {}: {failures:#?}",
            cell.name,
            bench::seed()
        );
    }
}

#[test]
fn config_cells_break_without_their_mechanism() {
    for cell in CELLS {
        for mechanism in cell.needs {
            let failures = run(cell, &[*mechanism]);
            println!("{} without {mechanism:?}: {failures:?}", cell.name);
            assert!(
                !failures.is_empty(),
                "{} holds without {mechanism:?}",
                cell.name
            );
        }
    }
}

fn run(cell: &Cell, disabled: &[Mechanism]) -> Vec<String> {
    let mut bench = Bench::with(bench::seed(), |settings| {
        settings.disabled = disabled.to_vec();
    });
    run_ms(&mut bench, 3_000);
    let mut failures = (cell.run)(&mut bench);
    let violations = invariant::violations(&bench).into_iter();
    failures.extend(violations.map(|(name, evidence)| format!("{name}: {evidence}")));
    failures.extend(dispatch_against_rules(&bench));
    failures
}

fn run_ms(bench: &mut Bench, time: u64) {
    bench.run_for(Duration::from_millis(time));
}

/// Schedules lookups and drafts without retries to some entries, whether they are ready or not.
fn traffic(bench: &mut Bench, nodes: &'static [usize], time: u64) {
    for at in (0..time).step_by(200) {
        bench.after(Duration::from_millis(at), move |bench| {
            for node in nodes {
                for (kind, operation) in [
                    ("look", Operation::Lookup),
                    ("chat", Operation::Chat("draft", 3)),
                ] {
                    let id = format!("{kind}-{node}-{}", bench.calls.len());
                    let mut spec = CallSpec::new(id, "author", operation);
                    spec.retries = false;
                    bench.call(*node, spec);
                }
            }
        });
    }
}

/// Takes zone `a`, which has two entries, out.
fn take_zone_out(bench: &mut Bench) {
    _ = bench.edit("mona", |plan| _ = plan.zones_out.insert("a"));
}

fn partition(bench: &mut Bench, one: &[usize], other: &[usize]) {
    for node in one {
        other.iter().for_each(|peer| bench.cut(*node, *peer));
    }
}

fn refused(bench: &Bench, code: Code) -> usize {
    let has_code = |outcome: Outcome| matches!(outcome, Outcome::Refused(why, _) if why == code);
    bench
        .calls
        .iter()
        .filter(|call| has_code(call.outcome))
        .count()
}

fn freshness(bench: &Bench, node: usize) -> Option<Freshness> {
    let entry = bench.nodes[node].entry.as_ref()?;
    Some(entry.state().rules.freshness(bench.now))
}

/// Describes an entry whose readiness is not the expected one.
fn readiness_error(bench: &Bench, node: usize, is_ready: bool) -> Option<String> {
    let actual = bench.nodes[node].ready;
    (actual != is_ready)
        .then(|| format!("entry-{node} ready: {actual}, {:?}", freshness(bench, node)))
}

/// Describes a dispatch that violates the rules in force at its entry when it was sent, however long the request had
/// waited.
pub(crate) fn dispatch_against_rules(bench: &Bench) -> Option<String> {
    let accepted_rules = |generation| {
        let mut accepted = bench.journal.accepted.iter();
        accepted.find(|rules| rules.generation == generation)
    };
    let is_wrong = |dispatch: &&bench::Dispatch| {
        let Some(rules) = accepted_rules(dispatch.generation).map(|accepted| &accepted.rules)
        else {
            return true;
        };
        let zone = &bench.upstreams[&dispatch.upstream].zone;
        let customer = &rules.customers[&dispatch.customer];
        let version = dispatch.version.as_ref().map(|id| &rules.versions[id]);
        let is_allowed =
            version.is_none_or(|version| !version.withdrawn && customer.allows(version));
        !rules.is_zone_in(zone) || !is_allowed
    };
    let wrong = bench.journal.dispatches.iter().find(is_wrong)?;
    let (tag, version) = (&wrong.tag, &wrong.version);
    Some(format!(
        "{tag} to {} {version:?} violates generation {}",
        wrong.upstream, wrong.generation
    ))
}

fn cut_off(bench: &mut Bench) -> Vec<String> {
    bench.network.log_requests_lost.insert(0);
    partition(bench, &[0], &[1, 2, 3]);
    traffic(bench, &[0], 12_000);
    run_ms(bench, 300);
    take_zone_out(bench);
    run_ms(bench, 3_700);
    let mut failures: Vec<String> = readiness_error(bench, 0, false).into_iter().collect();
    run_ms(bench, 8_000);
    bench.heal();
    run_ms(bench, 2_000);
    failures.extend(readiness_error(bench, 0, true));
    failures
}

fn smaller_side(bench: &mut Bench) -> Vec<String> {
    side_with_the_log(bench, 1, &[0, 2, 3])
}

fn part_of_a_zone(bench: &mut Bench) -> Vec<String> {
    side_with_the_log(bench, 3, &[0, 1, 2])
}

/// Cuts all entries but one off from the log and from that one, and takes a zone out meanwhile.
fn side_with_the_log(bench: &mut Bench, one: usize, others: &'static [usize]) -> Vec<String> {
    partition(bench, &[one], others);
    bench.network.log_requests_lost.extend(others);
    traffic(bench, others, 12_000);
    run_ms(bench, 300);
    take_zone_out(bench);
    run_ms(bench, 3_700);
    let others = others.iter();
    let failures = others
        .filter_map(|node| readiness_error(bench, *node, false))
        .collect();
    run_ms(bench, 8_000);
    bench.heal();
    run_ms(bench, 4_000);
    failures
}

fn outage(bench: &mut Bench) -> Vec<String> {
    bench.log.outage = true;
    traffic(bench, &[0, 1, 2, 3], 16_000);
    run_ms(bench, 6_000);
    bench.restart_after(2, Duration::from_millis(500));
    run_ms(bench, 4_000);
    let mut failures: Vec<String> = (0..ENTRIES)
        .filter_map(|node| readiness_error(bench, node, true))
        .collect();
    if freshness(bench, 2) != Some(Freshness::Outage) {
        failures.push(format!("entry-2 is {:?}", freshness(bench, 2)));
    }
    run_ms(bench, 10_000);
    bench.log.outage = false;
    run_ms(bench, 3_000);
    failures.extend((0..ENTRIES).filter_map(|node| readiness_error(bench, node, true)));
    let stale = refused(bench, Code::Stale);
    failures.extend((stale > 0).then(|| format!("{stale} refused as stale")));
    failures
}

/// The other entries cannot tell a dead entry from one that is partitioned and still reaches the log, so they must
/// refuse requests until the VM list drops it.
fn outage_and_death(bench: &mut Bench) -> Vec<String> {
    bench.log.outage = true;
    run_ms(bench, 6_000);
    bench.kill(1);
    run_ms(bench, 5_000);
    let live = [0, 2, 3];
    let mut failures: Vec<String> = live
        .iter()
        .filter_map(|node| readiness_error(bench, *node, false))
        .collect();
    bench.network.unlisted.insert(1);
    run_ms(bench, 2_000);
    failures.extend(
        live.iter()
            .filter_map(|node| readiness_error(bench, *node, true)),
    );
    bench.log.outage = false;
    run_ms(bench, 2_000);
    failures
}

fn outage_then_partition(bench: &mut Bench) -> Vec<String> {
    bench.log.outage = true;
    run_ms(bench, 10_000);
    partition(bench, &[1], &[0, 2, 3]);
    bench.network.log_requests_lost.extend([0, 2, 3]);
    bench.log.outage = false;
    traffic(bench, &[0, 2, 3], 12_000);
    run_ms(bench, 300);
    take_zone_out(bench);
    run_ms(bench, 14_000);
    bench.heal();
    run_ms(bench, 4_000);
    vec![]
}

fn paused(bench: &mut Bench) -> Vec<String> {
    bench.pause(0);
    traffic(bench, &[0], 2_000);
    run_ms(bench, 1_000);
    take_zone_out(bench);
    run_ms(bench, 5_000);
    bench.resume(0);
    run_ms(bench, 4_000);
    readiness_error(bench, 0, true).into_iter().collect()
}

fn late_frames(bench: &mut Bench) -> Vec<String> {
    bench.network.log_requests_lost.insert(0);
    bench.network.delay = Duration::from_millis(2_500);
    run_ms(bench, 6_000);
    traffic(bench, &[0], 12_000);
    take_zone_out(bench);
    run_ms(bench, 14_000);
    bench.heal();
    run_ms(bench, 4_000);
    vec![]
}

fn missed_records(bench: &mut Bench) -> Vec<String> {
    partition(bench, &[0], &[1, 2, 3]);
    bench.network.log_requests_lost.insert(0);
    take_zone_out(bench);
    bench.log.retention = Some(Duration::from_secs(1));
    run_ms(bench, 13_000);
    // The entries that have the new rules are paused, and the records have expired on the log.
    [1, 2, 3].into_iter().for_each(|node| bench.pause(node));
    run_ms(bench, 2_000);
    bench.network.log_requests_lost.clear();
    traffic(bench, &[0], 8_000);
    run_ms(bench, 9_000);
    let mut failures: Vec<String> = readiness_error(bench, 0, false).into_iter().collect();
    [1, 2, 3].into_iter().for_each(|node| bench.resume(node));
    bench.heal();
    run_ms(bench, 4_000);
    failures.extend(readiness_error(bench, 0, true));
    failures
}

fn writers_die(bench: &mut Bench) -> Vec<String> {
    bench.log.retention = Some(Duration::from_secs(200));
    for node in [0, 1, 2] {
        run_ms(bench, 40_000);
        bench.kill(node);
    }
    take_zone_out(bench);
    run_ms(bench, 400_000);
    bench.kill(3);
    bench.start(1);
    run_ms(bench, 4_000);
    let mut failures: Vec<String> = readiness_error(bench, 1, true).into_iter().collect();
    let count = bench.log.checkpoints();
    failures.extend((count > 20).then(|| format!("{count} checkpoints in 520 s")));
    failures
}

fn queued(bench: &mut Bench) -> Vec<String> {
    for index in 0..90 {
        let customer = if index % 2 == 0 { "author" } else { "band" };
        let operation = Operation::Chat(["mona", "mona", "mona@1", "lisa"][index % 4], 40);
        let mut spec = CallSpec::new(format!("chat-{index}"), customer, operation);
        spec.retries = false;
        bench.call(0, spec);
    }
    run_ms(bench, 200);
    let sent = bench.journal.dispatches.len();
    _ = bench.edit("mona", |plan| {
        plan.is_withdrawn = true;
        _ = plan.zones_out.insert("a");
    });
    run_ms(bench, 300);
    _ = bench.edit("mona", |plan| plan.is_narrowed = true);
    run_ms(bench, 12_000);
    let is_refused = |outcome| {
        matches!(
            outcome,
            Outcome::Refused(Code::Withdrawn | Code::NotAllowed, Ran::No)
        )
    };
    let refused_count = bench
        .calls
        .iter()
        .filter(|call| is_refused(call.outcome))
        .count();
    let later = bench.journal.dispatches.len() - sent;
    let count = format!(
        "{sent} sent before the change, {later} after it, {refused_count} refused because of it"
    );
    (later == 0 || refused_count == 0)
        .then_some(count)
        .into_iter()
        .collect()
}
