//! Non-blocking sink on standard output.

use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};

use comfreyroad::note::Note;
use comfreyroad_router::note;
use rustix::io::{Errno, retry_on_intr};
use rustix::stdio::stdout;

/// Lines lost since the start of the process.
static LOST_LINES: AtomicU64 = AtomicU64::new(0);

/// Lines lost since the start of the process, because the reader of the output had no room for them.
pub(super) fn lost_lines() -> u64 {
    LOST_LINES.load(Ordering::Relaxed)
}

/// Writes each line with one call on a flush, and loses the lines for which the reader has no room. The next line that is
/// written has their number before it.
#[derive(Debug, Default)]
pub(super) struct Sink {
    line: Vec<u8>,
    /// Lines lost since the last one that was written.
    lost: u64,
    /// Whether the output ends within a line.
    is_torn: bool,
}

impl Sink {
    /// Writes a line if there is room for it.
    fn write_line(&mut self, line: &[u8]) -> Result<(), Errno> {
        if self.is_torn {
            retry_on_intr(|| rustix::io::write(stdout(), b"\n"))?;
            self.is_torn = false;
        }
        let written = retry_on_intr(|| rustix::io::write(stdout(), line))?;
        if written < line.len() {
            self.is_torn = written > 0;
            return Err(Errno::AGAIN);
        }
        Ok(())
    }

    /// Writes how many lines were lost, if any were.
    fn report_lost(&mut self) -> Result<(), Errno> {
        if self.lost == 0 {
            return Ok(());
        }
        let note = Note::new(&note::LOG_LINES_LOST).with("count", self.lost);
        let report = super::line(log::Level::Warn, format_args!("{note}")) + "\n";
        self.write_line(report.as_bytes())?;
        self.lost = 0;
        Ok(())
    }
}

impl Write for Sink {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.line.extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        let mut line = std::mem::take(&mut self.line);
        // An error cannot be logged while the log cannot be written, so it only counts.
        let written = self.report_lost().and_then(|()| self.write_line(&line));
        if written.is_err() {
            self.lost += 1;
            LOST_LINES.fetch_add(1, Ordering::Relaxed);
        }
        line.clear();
        self.line = line;
        Ok(())
    }
}
