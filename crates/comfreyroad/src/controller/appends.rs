//! Appends to the log: one under way a stream, what comes meanwhile goes into the next.
//!
//! A record can come to stand twice: after an unclear append it is written again. Every reader counts the first only,
//! so this does no harm.

use std::collections::VecDeque;
use std::rc::Rc;
use std::time::{Duration, Instant};

use super::Controller;
use crate::action::Action;
use crate::clock::Now;
use crate::event::Event;
use crate::id::BatchId;
use crate::note::{self, Note};
use crate::outbox::Outbox;
use crate::record::{Record, Stream};

/// Records in one append at most.
const BATCH: usize = 256;
/// Pause after an append that was not taken or is unclear.
const PAUSE: Duration = Duration::from_millis(100);

/// Records on their way to the log.
#[derive(Debug)]
pub struct Appends {
    queues: [Queue; Stream::ALL.len()],
    last_batch: BatchId,
}

/// Records for one stream.
#[derive(Debug)]
struct Queue {
    stream: Stream,
    waiting: VecDeque<Rc<Record>>,
    under_way: Option<(BatchId, Vec<Rc<Record>>)>,
    not_before: Option<Instant>,
}

impl Default for Appends {
    fn default() -> Self {
        let queue = |stream| Queue {
            stream,
            waiting: VecDeque::new(),
            under_way: None,
            not_before: None,
        };
        Self {
            queues: Stream::ALL.map(queue),
            last_batch: 0,
        }
    }
}

impl Appends {
    /// Records not yet known to be on the log.
    pub fn pending(&self) -> usize {
        let queue = |queue: &Queue| {
            queue.waiting.len() + queue.under_way.as_ref().map_or(0, |(_, batch)| batch.len())
        };
        self.queues.iter().map(queue).sum()
    }

    fn start(&mut self, now: Now, out: &mut Outbox) {
        for queue in &mut self.queues {
            let paused = queue.not_before.is_some_and(|at| at > now.instant);
            if paused || queue.under_way.is_some() || queue.waiting.is_empty() {
                continue;
            }
            self.last_batch += 1;
            let records: Vec<_> = queue
                .waiting
                .drain(..queue.waiting.len().min(BATCH))
                .collect();
            let (batch, stream) = (self.last_batch, queue.stream);
            out.act(Action::Append {
                batch,
                stream,
                records: records.clone(),
            });
            queue.under_way = Some((batch, records));
        }
    }

    fn queue_of(&mut self, batch: BatchId) -> Option<&mut Queue> {
        let is_it =
            |queue: &&mut Queue| queue.under_way.as_ref().is_some_and(|(id, _)| *id == batch);
        self.queues.iter_mut().find(is_it)
    }

    fn again(&mut self, now: Now, batch: BatchId) {
        let Some(queue) = self.queue_of(batch) else {
            return;
        };
        let Some((_, records)) = queue.under_way.take() else {
            return;
        };
        for record in records.into_iter().rev() {
            queue.waiting.push_front(record);
        }
        queue.not_before = Some(now.instant + PAUSE);
    }
}

impl Controller for Appends {
    fn handle(&mut self, now: Now, event: &Event, out: &mut Outbox) {
        match event {
            Event::Write { stream, record } => {
                let Some(queue) = self.queues.iter_mut().find(|queue| queue.stream == *stream)
                else {
                    return;
                };
                queue.waiting.push_back(Rc::clone(record));
            }
            Event::Appended { batch, .. } => {
                let Some(queue) = self.queue_of(*batch) else {
                    return;
                };
                queue.under_way = None;
            }
            Event::AppendRefused(batch) => self.again(now, *batch),
            Event::AppendUnclear(batch) => {
                out.note(Note::new(&note::APPEND_UNCLEAR).with("batch", batch));
                self.again(now, *batch);
            }
            Event::Tick => {}
            _ => return,
        }
        self.start(now, out);
    }
}
