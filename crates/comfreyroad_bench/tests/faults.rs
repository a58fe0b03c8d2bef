//! Fault cells that are expected to pass on every run; `scripts/faults` runs all cells.

use std::path::Path;
use std::sync::{Mutex, MutexGuard, PoisonError};

use comfreyroad_bench::binaries::Binaries;
use comfreyroad_bench::faults::Cell;
use comfreyroad_net::runtime;

/// Locked by the running cell, so that concurrent cells don't slow each other down.
static CELL_LOCK: Mutex<()> = Mutex::new(());

fn lock_cells() -> MutexGuard<'static, ()> {
    // A failed cell leaves no state behind that affects the next one, so a poisoned lock is usable.
    CELL_LOCK.lock().unwrap_or_else(PoisonError::into_inner)
}

fn assert_passes(cell: Cell) {
    let _guard = lock_cells();
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
    assert_passes(Cell::KillEntry);
}

#[test]
fn a_paused_entry_doubles_nothing() {
    assert_passes(Cell::PauseEntry);
}

#[test]
fn a_zone_that_is_out_gets_no_new_work() {
    assert_passes(Cell::ZoneOut);
}

#[test]
fn of_two_publishes_one_wins() {
    assert_passes(Cell::PublishRace);
}

#[test]
fn a_terminated_entry_cuts_no_stream() {
    assert_passes(Cell::Terminate);
}

#[test]
fn chats_go_on_while_the_log_is_out() {
    assert_passes(Cell::LogOutage);
}

#[test]
fn lost_answers_double_nothing() {
    assert_passes(Cell::LostAcks);
}

#[test]
fn an_engine_that_starts_again_is_not_overloaded() {
    assert_passes(Cell::ColdRestart);
}
