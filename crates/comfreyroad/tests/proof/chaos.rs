//! Rules under random combinations of faults: partitions, pauses, outages, late and lost frames, crashes and concurrent
//! publishes. No entry may apply rules that are older than the bound, and all entries must agree at the end.

use std::time::Duration;

use crate::bench::{self, Bench, CallSpec, ENTRIES, Operation, Outcome, ZONES, invariant};
use crate::config::dispatch_against_rules;

/// Number of runs; each has its own seed.
const RUNS: u64 = 12;
/// Number of times that faults are drawn in one run.
const PHASES: u32 = 7;
/// Time until the slowest log delivers a stored record to the entries, in milliseconds.
const SLOWEST_READ_MS: u64 = 2_500;
/// Invariants that concern the rules.
const INVARIANTS: [&str; 5] = ["allowed", "withdrawn", "zone_out", "in_force", "not_run"];

#[test]
fn config_holds_under_random_faults() {
    let failures: Vec<String> = (0..RUNS)
        .filter_map(|run| run_seed(bench::seed() + run))
        .collect();
    assert!(failures.is_empty(), "{failures:#?}");
}

fn run_seed(seed: u64) -> Option<String> {
    println!("seed {seed}");
    let mut bench = Bench::with(seed, |settings| {
        settings.checkpoint_after = Duration::from_secs(10);
    });
    bench.log.retention = Some(Duration::from_secs(60));
    run_ms(&mut bench, 3_000);
    let mut drawn = Vec::new();
    for _ in 0..PHASES {
        let time = bench.rng.u64(500..8_000);
        drawn.push(format!("{time} ms: {}", draw_faults(&mut bench)));
        schedule_edits(&mut bench, time);
        traffic(&mut bench, time);
        run_ms(&mut bench, time);
    }
    clear_faults(&mut bench);
    run_ms(&mut bench, 12_000);
    let mut evidence: Vec<String> = invariant::violations(&bench)
        .into_iter()
        .filter(|(name, _)| INVARIANTS.contains(name))
        .map(|(name, evidence)| format!("{name}: {evidence}"))
        .collect();
    evidence.extend(dispatch_against_rules(&bench));
    let unready = (0..ENTRIES).filter(|node| !bench.nodes[*node].ready);
    evidence.extend(unready.map(|node| format!("entry-{node} is not ready at the end")));
    let is_idle = !bench
        .calls
        .iter()
        .any(|call| call.outcome == Outcome::Finished);
    evidence.extend(is_idle.then(|| "no request was answered".to_owned()));
    (!evidence.is_empty()).then(|| format!("seed {seed}: {evidence:#?} after {drawn:#?}"))
}

fn run_ms(bench: &mut Bench, time: u64) {
    bench.run_for(Duration::from_millis(time));
}

fn clear_faults(bench: &mut Bench) {
    bench.heal();
    (bench.log.outage, bench.log.extra_latency) = (false, Duration::ZERO);
}

/// Replaces the current faults by random ones and returns their description.
fn draw_faults(bench: &mut Bench) -> String {
    clear_faults(bench);
    let mut drawn = String::new();
    if bench.rng.u32(..3) == 0 {
        bench.log.outage = true;
        drawn += "outage ";
    }
    if bench.rng.bool() {
        // At least one entry reaches the log, because operators reach it too.
        let with_log = bench.rng.usize(..ENTRIES);
        let cut: Vec<usize> = (0..ENTRIES)
            .filter(|node| *node != with_log && bench.rng.u32(..4) > 0)
            .collect();
        drawn += &format!("no log at {cut:?} ");
        bench.network.log_requests_lost.extend(cut);
    }
    if bench.rng.bool() {
        let side: Vec<usize> = (0..ENTRIES).filter(|_| bench.rng.bool()).collect();
        let is_one_way = bench.rng.u32(..3) == 0;
        for one in &side {
            for other in (0..ENTRIES).filter(|other| !side.contains(other)) {
                bench.cut_one_way(*one, other);
                if !is_one_way {
                    bench.cut_one_way(other, *one);
                }
            }
        }
        drawn += &format!("apart {side:?}, one way: {is_one_way} ");
    }
    bench.network.loss = [0, 0, 20, 60][bench.rng.usize(..4)];
    bench.network.delay = Duration::from_millis([0, 0, 300, 1_500][bench.rng.usize(..4)]);
    bench.network.duplicates_frames = bench.rng.u32(..4) == 0;
    bench.log.extra_latency = Duration::from_millis([0, 0, 200, 900][bench.rng.usize(..4)]);
    drawn += &format!(
        "loss {} delay {:?} log {:?} ",
        bench.network.loss, bench.network.delay, bench.log.extra_latency
    );
    let (node, wait) = (
        bench.rng.usize(..ENTRIES),
        Duration::from_millis(bench.rng.u64(..6_000)),
    );
    match bench.rng.u32(..4) {
        0 => {
            bench.restart_after(node, wait);
            drawn += &format!("entry-{node} dead for {wait:?}");
        }
        1 => {
            bench.pause(node);
            bench.after(wait, move |bench| bench.resume(node));
            drawn += &format!("entry-{node} paused for {wait:?}");
        }
        _ => {}
    }
    drawn
}

/// Schedules changes of zones and versions, some of them based on an outdated generation.
///
/// If a record is stored just before an outage, no entry reads it, and the entries cannot tell this outage from one
/// without the record. The bound cannot hold in that case, so nothing is published within `SLOWEST_READ_MS` before the
/// faults change.
fn schedule_edits(bench: &mut Bench, time: u64) {
    let time = time.saturating_sub(SLOWEST_READ_MS);
    for _ in 0..if time > 0 { 3 } else { 0 } {
        let (at, zone) = (bench.rng.u64(..time), ZONES[bench.rng.usize(..ZONES.len())]);
        let (is_out, is_withdrawn, is_late) =
            (bench.rng.bool(), bench.rng.bool(), bench.rng.u32(..4) == 0);
        bench.after(Duration::from_millis(at), move |bench| {
            let after = bench.log.generation().saturating_sub(u64::from(is_late));
            _ = bench.edit_after(after, "mona", |plan| {
                plan.zones_out.clear();
                plan.is_withdrawn = is_withdrawn;
                if is_out {
                    plan.zones_out.insert(zone);
                }
            });
        });
    }
}

/// Schedules requests without retries to every entry, whether it is ready or not.
fn traffic(bench: &mut Bench, time: u64) {
    for at in (0..time).step_by(250) {
        bench.after(Duration::from_millis(at), |bench| {
            for node in 0..ENTRIES {
                for operation in [Operation::Lookup, Operation::Chat("draft", 3)] {
                    let mut spec =
                        CallSpec::new(format!("r-{}", bench.calls.len()), "author", operation);
                    spec.retries = false;
                    bench.call(node, spec);
                }
            }
        });
    }
}
