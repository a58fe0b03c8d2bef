//! Reads the log with one long poll per stream, repeated when it ends, with a pause after a failure.
//!
//! The rules controller reads the rules stream itself, since not every entry needs to read it.

use std::time::{Duration, Instant};

use super::Controller;
use crate::action::Action;
use crate::clock::Now;
use crate::event::{Event, Page};
use crate::id::Offset;
use crate::note::{self, Note};
use crate::outbox::Outbox;
use crate::record::Stream;

/// Maximum time for which the log holds a poll open.
const LONG_POLL_TIMEOUT: Duration = Duration::from_millis(500);
/// Pause after a failed read.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// The streams that this controller reads.
const STREAMS: [Stream; 3] = [Stream::Claims, Stream::Ledger, Stream::Orders];

/// Polls the streams of the log.
#[derive(Debug)]
pub struct Reader {
    cursors: [Cursor; STREAMS.len()],
    is_down: bool,
}

/// The read position in one stream.
#[derive(Clone, Copy, Debug)]
struct Cursor {
    stream: Stream,
    next_offset: Offset,
    retry_at: Option<Instant>,
}

impl Default for Reader {
    fn default() -> Self {
        Self {
            cursors: STREAMS.map(|stream| Cursor {
                stream,
                next_offset: 0,
                retry_at: None,
            }),
            is_down: false,
        }
    }
}

impl Reader {
    /// Whether the most recent read of the log failed.
    pub fn is_down(&self) -> bool {
        self.is_down
    }

    fn poll(cursor: &Cursor, out: &mut Outbox) {
        out.act(Action::Read {
            stream: cursor.stream,
            from: cursor.next_offset,
            wait: LONG_POLL_TIMEOUT,
        });
    }

    fn on_read(&mut self, page: &Page, out: &mut Outbox) {
        if std::mem::take(&mut self.is_down) {
            out.note(Note::new(&note::LOG_UP));
        }
        let Some(cursor) = self
            .cursors
            .iter_mut()
            .find(|cursor| cursor.stream == page.stream)
        else {
            return;
        };
        cursor.next_offset = page.after();
        Self::poll(cursor, out);
    }

    fn on_failure(&mut self, now: Now, stream: Stream, out: &mut Outbox) {
        if !std::mem::replace(&mut self.is_down, true) {
            out.note(Note::new(&note::LOG_DOWN).with("stream", stream.name()));
        }
        for cursor in self
            .cursors
            .iter_mut()
            .filter(|cursor| cursor.stream == stream)
        {
            cursor.retry_at = Some(now.instant + RETRY_PAUSE);
        }
    }

    fn on_tick(&mut self, now: Now, out: &mut Outbox) {
        for cursor in &mut self.cursors {
            if cursor.retry_at.is_some_and(|at| at <= now.instant) {
                cursor.retry_at = None;
                Self::poll(cursor, out);
            }
        }
    }
}

impl Controller for Reader {
    fn handle(&mut self, now: Now, event: &Event, out: &mut Outbox) {
        match event {
            Event::Started => self
                .cursors
                .iter()
                .for_each(|cursor| Self::poll(cursor, out)),
            Event::Read(page) => self.on_read(page, out),
            Event::ReadFailed(stream) => self.on_failure(now, *stream, out),
            Event::Tick => self.on_tick(now, out),
            _ => {}
        }
    }
}
