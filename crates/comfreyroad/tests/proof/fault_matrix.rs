//! The fault matrix: every fault is injected at every step, each in a new fleet, and every invariant is checked.
//!
//! To extend the matrix, add a row to [`ROWS`], a column to [`COLUMNS`], or an invariant to both `invariant::ALL` and
//! `invariants!`. The faults of a column are injected together.

use std::fmt::Write;
use std::sync::OnceLock;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use comfreyroad::mechanism::Mechanism;

use crate::bench::{self, Bench, CallSpec, Fault, Operation, Step, invariant};
use crate::bookings::Bookings;

/// Steps at which faults are injected.
const ROWS: &[Step] = &[
    Step::Admission,
    Step::Waiting,
    Step::Claiming,
    Step::ClaimAppended,
    Step::Sent,
    Step::Running,
    Step::FirstToken,
    Step::MidStream,
    Step::EndReceived,
    Step::Billing,
    Step::BillAppended,
    Step::PublishAppended,
    Step::InForce,
    Step::PeerExchange,
    Step::PeerReply,
    Step::LoadAsked,
    Step::Rating,
    Step::Start,
    Step::Drain,
];

/// Sets of faults that are injected together.
const COLUMNS: &[&[Fault]] = &[
    &[],
    &[Fault::Kill],
    &[Fault::KillLater],
    &[Fault::Pause],
    &[Fault::CutFromLog],
    &[Fault::DeafToLog],
    &[Fault::CutFromPeers],
    &[Fault::OneWay],
    &[Fault::FramesLost],
    &[Fault::FramesDoubled],
    &[Fault::FramesLate],
    &[Fault::SlowLog],
    &[Fault::LostAcks],
    &[Fault::LateAppends],
    &[Fault::RateCap],
    &[Fault::LogOutage],
    &[Fault::ColdRestart],
    &[Fault::Stall],
    &[Fault::Leaving],
    &[Fault::ZoneOut],
    &[Fault::Race],
    &[Fault::Duplicate],
    &[Fault::CallerGone],
    &[Fault::Crossed],
    &[Fault::PartDoubled],
    &[Fault::PartMissing],
    &[Fault::PartLate],
    &[Fault::Kill, Fault::LogOutage],
    &[Fault::Kill, Fault::Duplicate],
    &[Fault::Kill, Fault::ColdRestart],
    &[Fault::Pause, Fault::Duplicate],
    &[Fault::Pause, Fault::ZoneOut],
    &[Fault::LostAcks, Fault::Duplicate],
    &[Fault::LateAppends, Fault::Duplicate],
    &[Fault::LateAppends, Fault::KillLater],
    &[Fault::LateAppends, Fault::CallerGone],
    &[Fault::CutFromLog, Fault::CutFromPeers],
    &[Fault::CutFromPeers, Fault::ColdRestart],
    &[Fault::LogOutage, Fault::Leaving],
    &[Fault::LogOutage, Fault::KillLater],
    &[Fault::LogOutage, Fault::CutFromPeers],
    &[Fault::LogOutage, Fault::ColdRestart],
    &[Fault::CutFromLog, Fault::KillLater],
    &[Fault::DeafToLog, Fault::Duplicate],
    &[Fault::SlowLog, Fault::KillLater],
    &[Fault::ZoneOut, Fault::ColdRestart],
    &[Fault::Stall, Fault::Duplicate],
    &[Fault::Stall, Fault::KillLater],
    &[Fault::OneWay, Fault::ColdRestart],
    &[Fault::RatingOutage],
    &[Fault::VersionBad],
    &[Fault::HeldTwice],
    &[Fault::VersionBad, Fault::Kill],
    &[Fault::VersionBad, Fault::LogOutage],
    &[Fault::RatingOutage, Fault::ColdRestart],
    &[Fault::HeldTwice, Fault::Race],
];

/// Times of the follow-up requests of a session, from its first request.
const FOLLOW_UP_DELAYS: [Duration; 2] = [Duration::from_millis(800), Duration::from_millis(8_000)];

/// The result of one cell, without references to its run, so that all tests can share it.
struct Cell {
    row: Step,
    column: &'static [Fault],
    was_injected: bool,
    violations: Vec<(&'static str, String)>,
    bookings: Bookings,
}

/// Defines one test for each invariant, which fails with a list of the cells that violate it.
macro_rules! invariants {
    ($($test:ident: $invariant:literal,)*) => {
        const TESTED: &[&str] = &[$($invariant),*];
        $(#[test]
        fn $test() {
            let failures = failures($invariant);
            assert!(failures.is_empty(), "seed {}\n{failures}", bench::seed());
        })*
    };
}

invariants! {
    matrix_allowed: "allowed",
    matrix_withdrawn: "withdrawn",
    matrix_held: "held",
    matrix_session: "session",
    matrix_billed_once: "billed_once",
    matrix_starting: "starting",
    matrix_zone_out: "zone_out",
    matrix_whole_answer: "whole_answer",
    matrix_not_run: "not_run",
    matrix_at_most_once: "at_most_once",
    matrix_leaving: "leaving",
    matrix_shutdown: "shutdown",
    matrix_in_force: "in_force",
}

/// Prints the table and checks that faults were injected in every row and that every invariant has its test.
#[test]
fn matrix_table() {
    println!("seed {}\n{}", bench::seed(), table());
    for row in ROWS {
        let mut row_cells = cells().filter(|cell| cell.row == *row && !cell.column.is_empty());
        assert!(
            row_cells.all(|cell| cell.was_injected),
            "{row:?} was not reached in some cell"
        );
    }
    assert!(invariant::ALL.iter().all(|(name, _)| TESTED.contains(name)));
}

/// Returns all cells. The tests run in parallel and share the work: each runs the next cell that no other has begun.
fn cells() -> impl Iterator<Item = &'static Cell> {
    const COUNT: usize = ROWS.len() * COLUMNS.len();
    static CELLS: [OnceLock<Cell>; COUNT] = [const { OnceLock::new() }; COUNT];
    static NEXT: AtomicUsize = AtomicUsize::new(0);
    let cell = |index: usize| {
        let (row, column) = (index / COLUMNS.len(), index % COLUMNS.len());
        CELLS[index].get_or_init(|| run(ROWS[row], COLUMNS[column]))
    };
    let next = || NEXT.fetch_add(1, Ordering::Relaxed);
    let mut index = next();
    while index < COUNT {
        cell(index);
        index = next();
    }
    (0..COUNT).map(cell)
}

fn run(row: Step, column: &'static [Fault]) -> Cell {
    run_in(Bench::new(bench::seed()), row, column)
}

/// Returns the names of the invariants that a cell violates with a mechanism disabled.
pub(crate) fn violated_without(
    mechanism: Mechanism,
    row: Step,
    column: &'static [Fault],
) -> Vec<&'static str> {
    let cell = run_in(Bench::without(bench::seed(), mechanism), row, column);
    cell.violations.into_iter().map(|(name, _)| name).collect()
}

fn run_in(mut bench: Bench, row: Step, column: &'static [Fault]) -> Cell {
    bench.run_for(Duration::from_secs(2));
    bench.seed_ratings();
    let skip = bench.rng.u32(..2);
    // These steps are reached only once in a run, so their first time is not skipped.
    let skip = match row {
        Step::PublishAppended | Step::Start | Step::Drain => 0,
        _ => skip,
    };
    bench.inject_at(row, skip, column);
    script(&mut bench);
    bench.run_for(Duration::from_secs(21));
    Cell {
        row,
        column,
        was_injected: bench.injected_at.is_some(),
        violations: invariant::violations(&bench),
        bookings: Bookings::count(&bench),
    }
}

/// Schedules waves of requests, a zone that goes out and returns, a withdrawal, a shutdown and a start.
fn script(bench: &mut Bench) {
    for (wave, at) in [0, 3_000, 5_000, 9_500].into_iter().enumerate() {
        bench.after(Duration::from_millis(at), move |bench| work(bench, wave));
    }
    let at = Duration::from_millis;
    bench.after(at(600), |bench| {
        _ = bench.edit("mona", |plan| _ = plan.zones_out.insert("c"));
    });
    bench.after(at(1_000), |bench| bench.shut_down(3));
    bench.after(at(3_200), |bench| bench.start(3));
    bench.after(at(3_500), |bench| {
        _ = bench.edit("aaro", |plan| {
            plan.zones_out.clear();
            plan.is_withdrawn = true;
        });
    });
}

/// Sends chats, bookings and lookups. Each chat has follow-up requests in its session after a short and a long time,
/// and one chat is for a fixed version.
fn work(bench: &mut Bench, wave: usize) {
    for index in 0..8_u64 {
        let customer = if index % 2 == 0 { "author" } else { "band" };
        let model = match index {
            4 => "mona@1",
            1 | 5 => "plan",
            7 if wave == 0 => "lisa@1",
            _ => "draft",
        };
        let start = Duration::from_millis(index * 30);
        bench.after(start, move |bench| {
            let operations = [
                ("chat", Operation::Chat(model, 20)),
                ("book", Operation::Book),
                ("look", Operation::Lookup),
            ];
            for (kind, operation) in operations {
                let spec = CallSpec::new(format!("{kind}-{wave}-{index}"), customer, operation);
                let node = bench.pick_entry(usize::MAX);
                let call = bench.call(node.min(bench::ENTRIES - 1), spec);
                for (count, wait) in FOLLOW_UP_DELAYS
                    .iter()
                    .enumerate()
                    .filter(|_| kind == "chat")
                {
                    bench.after(*wait, move |bench| continue_session(bench, call, count));
                }
            }
        });
    }
}

/// Sends a follow-up request if the first request has received a session token.
fn continue_session(bench: &mut Bench, call: usize, count: usize) {
    let Some(session) = bench.calls[call].session.clone() else {
        return;
    };
    let first = &bench.calls[call].spec;
    let Operation::Chat(model, _) = first.operation else {
        return;
    };
    let spec = CallSpec {
        session: Some(session),
        ..CallSpec::new(
            format!("{}-on{count}", first.id),
            first.customer,
            Operation::Chat(model, 8),
        )
    };
    let node = bench.pick_entry(bench.calls[call].instance.node);
    bench.call(node, spec);
}

fn failures(invariant: &str) -> String {
    let mut text = String::new();
    for cell in cells() {
        for (_, evidence) in cell
            .violations
            .iter()
            .filter(|(name, _)| *name == invariant)
        {
            _ = writeln!(text, "  {:?} x {:?}: {evidence}", cell.row, cell.column);
        }
    }
    text
}

/// Renders the table of faults by invariants, with the number of violating cells and of all cells.
fn table() -> String {
    let mut text = format!("{} cells\n{:42}", cells().count(), "");
    let names = invariant::ALL.map(|(name, _)| name);
    names.iter().for_each(|name| _ = write!(text, "{name:>13}"));
    text.push_str("  bookings answered/not run/unclear\n");
    for column in COLUMNS {
        let ran: Vec<&Cell> = cells().filter(|cell| cell.column == *column).collect();
        _ = write!(text, "{:42}", format!("{column:?}"));
        for name in names {
            let is_violated = |cell: &&&Cell| {
                cell.violations
                    .iter()
                    .any(|(violated, _)| *violated == name)
            };
            let violated = ran.iter().filter(is_violated).count();
            _ = write!(text, "{:>13}", format!("{violated}/{}", ran.len()));
        }
        let bookings = ran.iter().map(|cell| cell.bookings).sum::<Bookings>();
        _ = writeln!(text, "  {bookings}");
    }
    for (name, _) in invariant::ALL {
        _ = write!(text, "{name}\n{}", failures(name));
    }
    text
}
