//! Log events on standard output, one line each. A reader that does not keep up costs lines, never requests.

use std::cell::RefCell;
use std::io::{self, Write};
use std::time::{Duration, Instant, SystemTime};

use comfreyroad::note::{Level, Note};
use indexmap::IndexMap;
use log::LevelFilter;
use rustix::fs::{OFlags, fcntl_getfl, fcntl_setfl};
use rustix::stdio::stdout;

/// Target of numbered events.
pub const TARGET: &str = "comfreyroad";
/// Lines of one kind of event in one window, beyond which lines are counted instead of written.
const LINES: u32 = 40;
/// The window of these lines.
const WINDOW: Duration = Duration::from_secs(1);

thread_local! {
    static BUDGET: RefCell<Budget> = RefCell::default();
}

/// Lines written in the current window, by kind.
#[derive(Debug, Default)]
struct Budget {
    began: Option<Instant>,
    lines: IndexMap<u16, u32>,
}

impl Budget {
    /// Whether a line may be written; and what was left out of the window before.
    fn take(&mut self, kind: u16, now: Instant) -> (bool, Vec<(u16, u32)>) {
        let mut left_out = Vec::new();
        if self.began.is_none_or(|began| began + WINDOW <= now) {
            let over = self.lines.iter().filter(|(_, lines)| **lines > LINES);
            left_out.extend(over.map(|(kind, lines)| (*kind, lines - LINES)));
            self.lines.clear();
            self.began = Some(now);
        }
        let lines = self.lines.entry(kind).or_default();
        *lines += 1;
        (*lines <= LINES, left_out)
    }
}

/// Standard output that does not wait: what the reader has no room for is dropped.
#[derive(Debug)]
struct Lossy;

impl Write for Lossy {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        match rustix::io::write(stdout(), bytes) {
            Ok(written) => Ok(written),
            // There is nowhere left to report it to.
            Err(_) => Ok(bytes.len()),
        }
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Starts the log.
pub fn init(level: LevelFilter) -> Result<(), log::SetLoggerError> {
    // On a terminal or file this may not be possible, and is not needed.
    if let Ok(flags) = fcntl_getfl(stdout()) {
        let _ = fcntl_setfl(stdout(), flags | OFlags::NONBLOCK);
    }
    fern::Dispatch::new()
        .level(LevelFilter::Warn)
        .level_for(TARGET, level)
        .format(move |out, message, record| {
            let at = humantime::format_rfc3339_millis(SystemTime::now());
            out.finish(format_args!("{at} {} {message}", record.level()));
        })
        .chain(Box::new(Lossy) as Box<dyn Write + Send>)
        .apply()
}

/// Writes an event, if its kind has lines left in this second.
pub fn write(note: &Note) {
    let taken = BUDGET.with_borrow_mut(|it| it.take(note.kind.number, Instant::now()));
    let (is_written, left_out) = taken;
    for (kind, lines) in left_out {
        log::info!(target: TARGET, "E{kind:04} lines left out count={lines}");
    }
    if !is_written {
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
