//! Cost of membership, slots and load digests for each entry at several fleet sizes, simulated in one process.
//!
//! `cargo run --release -p comfreyroad --example fleet_cost`

#[path = "../tests/fleet/support/mod.rs"]
mod fleet;

use std::time::Duration;

use fleet::{Counters, Fleet, Size};

/// Time over which the costs are measured.
const MEASUREMENT_PERIOD: Duration = Duration::from_secs(5);
/// Number of zones of the fleet.
const ZONES: usize = 9;

fn main() {
    let has_argument = std::env::args().nth(1).is_some();
    if !has_argument {
        print_overloads();
    }
    println!(
        "entries upstreams  joined_s  frames/s  bytes/s  heartbeat_B/s  digests_B/s  polls/s  cpu%  KiB/entry  detect_s"
    );
    for (entries, upstreams) in [(50, 100), (200, 500), (800, 100), (800, 2_500)] {
        print_costs(entries, upstreams);
    }
}

fn print_costs(entries: usize, upstreams: usize) {
    let before = resident_kib();
    let mut fleet = Fleet::new(Size {
        zones: ZONES,
        entries,
        upstreams,
        ..Size::default()
    });
    let joined_s = wait_until(&mut fleet, |fleet| {
        let mut views = fleet.live().map(|(_, entry)| entry.state().members.view());
        views.all(|view| view.slot_holders.len() == entries)
    });
    fleet.run_for(Duration::from_secs(10));
    (fleet.counters, fleet.is_measured) = (Counters::default(), true);
    fleet.run_for(MEASUREMENT_PERIOD);
    fleet.is_measured = false;
    let counters = fleet.counters;
    let memory_kib = resident_kib().saturating_sub(before) / entries as u64;
    let victim = fleet.nodes[7].settings.entry.clone();
    fleet.kill(7);
    let detected_s = wait_until(&mut fleet, |fleet| {
        let mut views = fleet.live().map(|(_, entry)| entry.state().members.view());
        views.all(|view| !view.members.contains_key(&victim))
    });
    let per_second = |count: u64| count as f64 / MEASUREMENT_PERIOD.as_secs_f64() / entries as f64;
    println!(
        "{entries:7} {upstreams:9} {joined_s:9.1} {:9.1} {:8.0} {:14.0} {:12.0} {:8.1} {:5.2} {memory_kib:10} {detected_s:9.1}",
        per_second(counters.frames),
        per_second(counters.bytes),
        per_second(counters.heartbeat_bytes),
        per_second(counters.digest_bytes),
        per_second(counters.polls),
        counters.busy.as_secs_f64() / MEASUREMENT_PERIOD.as_secs_f64() / entries as f64 * 100.0,
    );
}

/// Prints how far upstreams are loaded beyond their capacity when they restart without notice under load, while entries
/// join, leave and pause.
fn print_overloads() {
    println!("restarts entries  attempts  overloads  worst(running,capacity)  shared_slots");
    for entries in [6, 27, 90] {
        let mut fleet = Fleet::new(Size {
            zones: 3,
            entries,
            upstreams: 12,
            ..Size::default()
        });
        fleet.run_for(Duration::from_secs(12));
        apply_load(&mut fleet, 600);
        fleet.overloads = Default::default();
        let before = attempts_received(&fleet);
        let mut shared_slots = 0;
        for round in 0..12 {
            fleet.restart_upstream(&format!("eng-{round}"));
            apply_load(&mut fleet, 50);
            shared_slots += fleet.shared_slots(&format!("eng-{round}")).len();
            churn(&mut fleet, round);
        }
        let overloads = fleet.overloads;
        let attempts = attempts_received(&fleet) - before;
        println!(
            "      12 {entries:7} {attempts:9} {:10} {:?} {shared_slots}",
            overloads.count, overloads.worst
        );
    }
}

/// Pauses, resumes, shuts down or starts one entry in each round.
fn churn(fleet: &mut Fleet, round: usize) {
    match round % 4 {
        0 => fleet.pause(1),
        1 => fleet.resume(1),
        2 => fleet.shut_down(2),
        _ => {
            fleet.start(2);
            fleet.join();
        }
    }
}

fn attempts_received(fleet: &Fleet) -> u64 {
    fleet.upstreams.keys().map(|id| fleet.received(id)).sum()
}

/// Runs rounds of 100 ms, each with calls to all entries.
fn apply_load(fleet: &mut Fleet, rounds: usize) {
    for _ in 0..rounds {
        for index in 0..fleet.nodes.len() {
            let missing = fleet
                .calls(index)
                .map_or(0, |calls| 12_usize.saturating_sub(calls));
            (0..missing).for_each(|_| fleet.call(index, Duration::from_secs(10)));
        }
        fleet.run_for(Duration::from_millis(100));
    }
}

/// Runs the fleet until a condition holds, for a minute at most, and returns the seconds that passed.
fn wait_until(fleet: &mut Fleet, condition: impl Fn(&Fleet) -> bool) -> f64 {
    let step = Duration::from_millis(250);
    let mut waited = Duration::ZERO;
    while !condition(fleet) && waited < Duration::from_secs(60) {
        fleet.run_for(step);
        waited += step;
    }
    waited.as_secs_f64()
}

/// Returns the resident set size of this process in KiB.
fn resident_kib() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let value = line.and_then(|line| line.split_whitespace().nth(1));
    value.and_then(|value| value.parse().ok()).unwrap_or(0)
}
