//! Appends to the log. Each stream has at most one append in flight; records that arrive meanwhile go into the next one.
//!
//! After an append without a clear result the log is read back, and only the records that it does not contain are appended
//! again. A record can still be on the log twice if the first copy arrives late. This is harmless, because every reader
//! counts only one of the copies.

mod queue;

use std::rc::Rc;
use std::time::Duration;

use super::Controller;
use crate::action::Action;
use crate::clock::Now;
use crate::event::Event;
use crate::id::BatchId;
use crate::mechanism::Mechanism;
use crate::note::{self, Note};
use crate::outbox::Outbox;
use crate::record::Stream;
use crate::settings::Settings;
use queue::Queue;

/// Maximum number of appends per second to one stream by all entries together.
const MAX_APPENDS_PER_SECOND: u32 = 100;

/// Queues records for the log and sends them in batches.
#[derive(Debug)]
pub struct Appends {
    queues: [Queue; Stream::ALL.len()],
    last_batch: BatchId,
    // Minimum time between two appends to one stream, so that all entries together stay below the maximum rate.
    interval: Duration,
    reads_back: bool,
}

impl Appends {
    pub(super) fn new(settings: &Settings) -> Self {
        Self {
            queues: Stream::ALL.map(Queue::new),
            last_batch: 0,
            interval: Duration::ZERO,
            reads_back: !settings.disabled.contains(&Mechanism::AppendReadBack),
        }
    }

    /// Number of records not yet known to be on the log.
    pub fn pending(&self) -> usize {
        self.queues.iter().map(Queue::len).sum()
    }

    fn start_appends(&mut self, now: Now, out: &mut Outbox) {
        for queue in &mut self.queues {
            let batch = self.last_batch + 1;
            let Some(records) = queue.start_append(now.instant, batch, self.interval) else {
                continue;
            };
            self.last_batch = batch;
            let stream = queue.stream;
            out.act(Action::Append {
                batch,
                stream,
                records,
            });
        }
    }

    fn queue_with(&mut self, batch: BatchId) -> Option<&mut Queue> {
        self.queues
            .iter_mut()
            .find(|queue| queue.has_in_flight(batch))
    }

    fn queue_of(&mut self, stream: Stream) -> Option<&mut Queue> {
        self.queues.iter_mut().find(|queue| queue.stream == stream)
    }

    fn on_accepted(&mut self, batch: BatchId, out: &mut Outbox) {
        let Some(queue) = self.queue_with(batch) else {
            return;
        };
        let stream = queue.stream;
        let records = queue.on_accepted();
        out.raise(Event::Written { stream, records });
    }

    fn on_unclear(&mut self, now: Now, batch: BatchId, out: &mut Outbox) {
        let reads_back = self.reads_back;
        let Some(queue) = self.queue_with(batch) else {
            return;
        };
        // Claims are appended again at once, since a caller waits and a duplicate is harmless.
        if reads_back && queue.stream != Stream::Claims {
            queue.on_unclear(now.instant);
        } else {
            queue.on_refused(now.instant);
        }
        let stream = queue.stream.name();
        out.note(
            Note::new(&note::APPEND_UNCLEAR)
                .with("batch", batch)
                .with("stream", stream),
        );
    }
}

impl Controller for Appends {
    fn handle(&mut self, now: Now, event: &Event, out: &mut Outbox) {
        match event {
            Event::Write { stream, record } => {
                let Some(queue) = self.queue_of(*stream) else {
                    return;
                };
                queue.push(Rc::clone(record));
            }
            Event::Appended { batch, .. } => self.on_accepted(*batch, out),
            Event::AppendRefused(batch) => {
                let Some(queue) = self.queue_with(*batch) else {
                    return;
                };
                queue.on_refused(now.instant);
            }
            Event::AppendUnclear(batch) => self.on_unclear(now, *batch, out),
            Event::Read(page) if self.reads_back => {
                let Some(queue) = self.queue_of(page.stream) else {
                    return;
                };
                queue.on_page(page);
            }
            Event::Members(view) => {
                let entries = view.members.len().max(1) as u32;
                self.interval = Duration::from_secs(1) * entries / MAX_APPENDS_PER_SECOND;
                return;
            }
            Event::Tick => {
                for queue in &mut self.queues {
                    queue.on_tick(now.instant);
                }
            }
            _ => return,
        }
        self.start_appends(now, out);
    }
}
