//! Writes log events to standard output, one per line. Lines are dropped when the reader of the output does not keep
//! up, so that a stalled reader never delays requests, and the number of lost lines is written when there is room again.

mod sink;

use std::cell::RefCell;
use std::fmt;
use std::io::Write;
use std::time::{Duration, Instant, SystemTime};

use comfreyroad::note::{Level, Note};
use indexmap::IndexMap;
use log::LevelFilter;
use rustix::fs::{OFlags, fcntl_getfl, fcntl_setfl};
use rustix::stdio::stdout;

use self::sink::Sink;

/// Log target of numbered events.
pub const TARGET: &str = "comfreyroad";
/// Lines per window for one kind of event; further lines are counted but not written.
const MAX_LINES: u32 = 40;
/// Length of the rate-limiting window.
const WINDOW: Duration = Duration::from_secs(1);

thread_local! {
    static LIMITER: RefCell<Limiter> = RefCell::default();
}

/// Limits the rate of log lines for each kind of event.
#[derive(Debug, Default)]
struct Limiter {
    window_start: Option<Instant>,
    /// Lines in the current window, by event number.
    lines: IndexMap<u16, u32>,
}

impl Limiter {
    /// Returns whether a line may be written, and how many lines of each kind were dropped in the previous window. The
    /// second is empty unless a new window begins.
    fn acquire(&mut self, kind: u16, now: Instant) -> (bool, Vec<(u16, u32)>) {
        let mut dropped = Vec::new();
        if self.window_start.is_none_or(|start| start + WINDOW <= now) {
            dropped = self.end_window();
            self.window_start = Some(now);
        }
        let lines = self.lines.entry(kind).or_default();
        *lines += 1;
        (*lines <= MAX_LINES, dropped)
    }

    /// Ends the window, and returns how many lines of each kind were dropped in it.
    fn end_window(&mut self) -> Vec<(u16, u32)> {
        let over = self.lines.iter().filter(|(_, lines)| **lines > MAX_LINES);
        let dropped = over
            .map(|(kind, lines)| (*kind, lines - MAX_LINES))
            .collect();
        self.lines.clear();
        dropped
    }
}

/// Writes how many lines were dropped, before the process ends.
pub fn finish() {
    let dropped = LIMITER.with_borrow_mut(Limiter::end_window);
    write_dropped(&dropped);
}

fn write_dropped(dropped: &[(u16, u32)]) {
    for (kind, lines) in dropped {
        log::info!(target: TARGET, "E{kind:04} lines left out count={lines}");
    }
}

/// Lines lost since the start of the process, because the reader of the output had no room for them.
pub fn lost_lines() -> u64 {
    sink::lost_lines()
}

/// Formats a log line without its end.
fn line(level: log::Level, message: fmt::Arguments<'_>) -> String {
    let at = humantime::format_rfc3339_millis(SystemTime::now());
    format!("{at} {level} {message}")
}

/// Initializes logging to standard output.
pub fn init(level: LevelFilter) -> Result<(), log::SetLoggerError> {
    // May fail on terminals and files, where it is not needed.
    if let Ok(flags) = fcntl_getfl(stdout()) {
        let _ = fcntl_setfl(stdout(), flags | OFlags::NONBLOCK);
    }
    fern::Dispatch::new()
        .level(LevelFilter::Warn)
        .level_for(TARGET, level)
        .format(move |out, message, record| {
            out.finish(format_args!("{}", line(record.level(), *message)));
        })
        .chain(Box::new(Sink::default()) as Box<dyn Write + Send>)
        .apply()
}

/// Writes a log event, subject to the rate limit of its kind.
pub fn write(note: &Note) {
    let acquired = LIMITER.with_borrow_mut(|it| it.acquire(note.kind.number, Instant::now()));
    let (is_allowed, dropped) = acquired;
    write_dropped(&dropped);
    if !is_allowed {
        return;
    }
    let level = match note.kind.level {
        Level::Error => log::Level::Error,
        Level::Warn => log::Level::Warn,
        Level::Info => log::Level::Info,
        Level::Debug => log::Level::Debug,
    };
    log::log!(target: TARGET, level, "{note}");
}
