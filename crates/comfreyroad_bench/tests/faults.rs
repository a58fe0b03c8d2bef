//! Fault cells whose promises hold on every run so far; `scripts/faults` runs the others too.

use std::path::Path;
use std::sync::{Mutex, MutexGuard, PoisonError};

use comfreyroad_bench::binaries::Binaries;
use comfreyroad_bench::faults::Cell;
use comfreyroad_net::runtime;

/// Cells that run at once, so that they don't starve each other.
static LANES: [Mutex<()>; 3] = [const { Mutex::new(()) }; 3];

fn lane(number: usize) -> MutexGuard<'static, ()> {
    // A cell that failed leaves nothing behind that the next one could stumble over.
    LANES[number].lock().unwrap_or_else(PoisonError::into_inner)
}

fn hold(number: usize, cell: Cell) {
    let _lane = lane(number);
    let seed = std::env::var("COMFREYROAD_SEED").ok();
    let seed = seed.and_then(|seed| seed.parse().ok()).unwrap_or(1);
    let program = Path::new(env!("CARGO_BIN_EXE_comfreyroad-bench"));
    let binaries = Binaries::beside(program).expect("build the workspace's programs first");
    let outcome = runtime::run(cell.run(seed, &binaries)).unwrap().unwrap();
    println!("{outcome}");
    assert!(outcome.passed, "{outcome}");
}

#[test]
fn callers_of_a_killed_entry_are_served_elsewhere() {
    hold(0, Cell::KillEntry);
}

#[test]
fn a_paused_entry_doubles_nothing() {
    hold(1, Cell::PauseEntry);
}

#[test]
fn a_zone_that_is_out_gets_no_new_work() {
    hold(2, Cell::ZoneOut);
}

#[test]
fn of_two_publishes_one_wins() {
    hold(0, Cell::PublishRace);
}

#[test]
fn a_terminated_entry_cuts_no_stream() {
    hold(1, Cell::Terminate);
}

#[test]
fn chats_go_on_while_the_log_is_out() {
    hold(2, Cell::LogOutage);
}

#[test]
fn lost_answers_double_nothing() {
    hold(0, Cell::LostAcks);
}

#[test]
fn an_engine_that_starts_again_is_not_overloaded() {
    hold(1, Cell::ColdRestart);
}
