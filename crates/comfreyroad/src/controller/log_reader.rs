//! Reading of the log: one long poll a stream, begun anew when it ends, with a pause after a failure.
//!
//! The rules are read by their own controller, since not every entry needs to read them.

use std::time::{Duration, Instant};

use super::Controller;
use crate::action::Action;
use crate::clock::Now;
use crate::event::{Event, Page};
use crate::id::Offset;
use crate::note::{self, Note};
use crate::outbox::Outbox;
use crate::record::Stream;

/// How long the log may hold a question open.
const WAIT: Duration = Duration::from_millis(500);
/// Pause after a failed read.
const PAUSE: Duration = Duration::from_millis(200);

/// The streams read here.
const STREAMS: [Stream; 3] = [Stream::Claims, Stream::Ledger, Stream::Orders];

/// Where each stream is read.
#[derive(Debug)]
pub struct LogReader {
    cursors: [Cursor; STREAMS.len()],
    down: bool,
}

/// The place in one stream.
#[derive(Clone, Copy, Debug)]
struct Cursor {
    stream: Stream,
    next: Offset,
    retry_at: Option<Instant>,
}

impl Default for LogReader {
    fn default() -> Self {
        Self {
            cursors: STREAMS.map(|stream| Cursor {
                stream,
                next: 0,
                retry_at: None,
            }),
            down: false,
        }
    }
}

impl LogReader {
    /// Whether the newest question to the log failed.
    pub fn is_down(&self) -> bool {
        self.down
    }

    fn read(cursor: &Cursor, out: &mut Outbox) {
        out.act(Action::Read {
            stream: cursor.stream,
            from: cursor.next,
            wait: WAIT,
        });
    }

    fn on_read(&mut self, page: &Page, out: &mut Outbox) {
        if std::mem::take(&mut self.down) {
            out.note(Note::new(&note::LOG_UP));
        }
        let Some(cursor) = self
            .cursors
            .iter_mut()
            .find(|cursor| cursor.stream == page.stream)
        else {
            return;
        };
        cursor.next = page.after();
        Self::read(cursor, out);
    }

    fn on_failure(&mut self, now: Now, stream: Stream, out: &mut Outbox) {
        if !std::mem::replace(&mut self.down, true) {
            out.note(Note::new(&note::LOG_DOWN).with("stream", stream.name()));
        }
        for cursor in self
            .cursors
            .iter_mut()
            .filter(|cursor| cursor.stream == stream)
        {
            cursor.retry_at = Some(now.instant + PAUSE);
        }
    }

    fn on_tick(&mut self, now: Now, out: &mut Outbox) {
        for cursor in &mut self.cursors {
            if cursor.retry_at.is_some_and(|at| at <= now.instant) {
                cursor.retry_at = None;
                Self::read(cursor, out);
            }
        }
    }
}

impl Controller for LogReader {
    fn handle(&mut self, now: Now, event: &Event, out: &mut Outbox) {
        match event {
            Event::Started => self
                .cursors
                .iter()
                .for_each(|cursor| Self::read(cursor, out)),
            Event::Read(page) => self.on_read(page, out),
            Event::ReadFailed(stream) => self.on_failure(now, *stream, out),
            Event::Tick => self.on_tick(now, out),
            _ => {}
        }
    }
}
