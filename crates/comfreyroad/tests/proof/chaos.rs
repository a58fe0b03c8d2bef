//! Rules under faults drawn at random: cuts, pauses, outages, late and lost frames, deaths and racing operators, many at
//! once. Whatever is drawn, no entry sends by rules that are older than the bound, and all agree at the end.

use std::time::Duration;

use crate::bench::{self, Ask, Bench, CallSpec, ENTRIES, Outcome, ZONES, promise};
use crate::config::by_own_rules;

/// Runs, each with a seed of its own.
const RUNS: u64 = 12;
/// Times at which other faults are drawn in one run.
const PHASES: u32 = 7;
/// Milliseconds for the slowest log to tell what it has taken.
const ANSWER: u64 = 2_500;
/// Promises that concern the rules.
const PROMISES: [&str; 5] = ["allowed", "withdrawn", "zone_out", "in_force", "not_run"];

#[test]
fn config_holds_under_random_faults() {
    let failures: Vec<String> = (0..RUNS)
        .filter_map(|run| broken(bench::seed() + run))
        .collect();
    assert!(failures.is_empty(), "{failures:#?}");
}

fn broken(seed: u64) -> Option<String> {
    println!("seed {seed}");
    let mut bench = Bench::with(seed, |settings| {
        settings.checkpoint_after = Duration::from_secs(10);
    });
    bench.log.keep = Some(Duration::from_secs(60));
    run_ms(&mut bench, 3_000);
    let mut drawn = Vec::new();
    for _ in 0..PHASES {
        let time = bench.rng.u64(500..8_000);
        drawn.push(format!("{time} ms: {}", draw(&mut bench)));
        edits(&mut bench, time);
        traffic(&mut bench, time);
        run_ms(&mut bench, time);
    }
    calm(&mut bench);
    run_ms(&mut bench, 12_000);
    let mut evidence: Vec<String> = promise::all(&bench)
        .into_iter()
        .filter(|(name, _)| PROMISES.contains(name))
        .map(|(name, evidence)| format!("{name}: {evidence}"))
        .collect();
    evidence.extend(by_own_rules(&bench));
    let unready = (0..ENTRIES).filter(|node| !bench.nodes[*node].ready);
    evidence.extend(unready.map(|node| format!("entry-{node} is not ready at the end")));
    let is_idle = !bench
        .calls
        .iter()
        .any(|call| call.outcome == Outcome::Finished);
    evidence.extend(is_idle.then(|| "nothing was answered".to_owned()));
    (!evidence.is_empty()).then(|| format!("seed {seed}: {evidence:#?} after {drawn:#?}"))
}

fn run_ms(bench: &mut Bench, time: u64) {
    bench.run_for(Duration::from_millis(time));
}

fn calm(bench: &mut Bench) {
    bench.mend();
    (bench.log.outage, bench.log.slow) = (false, Duration::ZERO);
}

/// Draws what is broken from now on; says what.
fn draw(bench: &mut Bench) -> String {
    calm(bench);
    let mut drawn = String::new();
    if bench.rng.u32(..3) == 0 {
        bench.log.outage = true;
        drawn += "outage ";
    }
    if bench.rng.bool() {
        // The log can be out of reach of some entries, but not of all while operators reach it.
        let with_log = bench.rng.usize(..ENTRIES);
        let cut: Vec<usize> = (0..ENTRIES)
            .filter(|node| *node != with_log && bench.rng.u32(..4) > 0)
            .collect();
        drawn += &format!("no log at {cut:?} ");
        bench.wire.log_cut.extend(cut);
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
    bench.wire.loss = [0, 0, 20, 60][bench.rng.usize(..4)];
    bench.wire.delay = Duration::from_millis([0, 0, 300, 1_500][bench.rng.usize(..4)]);
    bench.wire.is_doubling = bench.rng.u32(..4) == 0;
    bench.log.slow = Duration::from_millis([0, 0, 200, 900][bench.rng.usize(..4)]);
    drawn += &format!(
        "loss {} delay {:?} log {:?} ",
        bench.wire.loss, bench.wire.delay, bench.log.slow
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

/// Operators change zones and versions now and then, some of them after an old generation.
///
/// What the log takes just before an outage is read by nobody, and an outage looks the same with it as without: there
/// the bound cannot be kept, so nothing is published within the time of an answer before the faults change.
fn edits(bench: &mut Bench, time: u64) {
    let time = time.saturating_sub(ANSWER);
    for _ in 0..if time > 0 { 3 } else { 0 } {
        let (at, zone) = (bench.rng.u64(..time), ZONES[bench.rng.usize(..ZONES.len())]);
        let (is_out, is_withdrawn, is_late) =
            (bench.rng.bool(), bench.rng.bool(), bench.rng.u32(..4) == 0);
        bench.after(Duration::from_millis(at), move |bench| {
            let after = bench.log.generation().saturating_sub(u64::from(is_late));
            _ = bench.edit_after(after, "mona", |plan| {
                plan.out.clear();
                plan.is_withdrawn = is_withdrawn;
                if is_out {
                    plan.out.insert(zone);
                }
            });
        });
    }
}

/// Callers who do not try again ask every entry, ready or not.
fn traffic(bench: &mut Bench, time: u64) {
    for at in (0..time).step_by(250) {
        bench.after(Duration::from_millis(at), |bench| {
            for node in 0..ENTRIES {
                for ask in [Ask::Look, Ask::Chat("draft", 3)] {
                    let mut spec = CallSpec::new(format!("r-{}", bench.calls.len()), "author", ask);
                    spec.retries = false;
                    bench.call(node, spec);
                }
            }
        });
    }
}
