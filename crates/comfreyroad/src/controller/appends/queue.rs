use std::collections::VecDeque;
use std::rc::Rc;
use std::time::{Duration, Instant};

use crate::event::Page;
use crate::id::BatchId;
use crate::record::{Record, Stream};

/// Maximum number of records in one append.
const MAX_BATCH_RECORDS: usize = 256;
/// Pause after an append that was refused or has no clear result.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// How far appends may run ahead of their rate, so that short bursts do not wait.
const BURST_ALLOWANCE: Duration = Duration::from_millis(500);
/// Maximum wait for the pages that show whether an unclear append reached the log.
const READ_BACK_TIMEOUT: Duration = Duration::from_secs(3);

/// Records to append to one stream.
#[derive(Debug)]
pub(super) struct Queue {
    pub(super) stream: Stream,
    queued: VecDeque<Rc<Record>>,
    in_flight: Option<Batch>,
    unconfirmed: Option<Unconfirmed>,
    paused_until: Option<Instant>,
    // The time that the appends so far account for, at one per interval. It lies ahead of now after a burst.
    paced_until: Option<Instant>,
}

/// An append in flight.
#[derive(Debug)]
struct Batch {
    id: BatchId,
    records: Vec<Rc<Record>>,
}

/// Records of appends without a clear result.
#[derive(Debug)]
struct Unconfirmed {
    records: Vec<Rc<Record>>,
    // A page requested at or after this time shows whether the records are on the log.
    since: Instant,
    deadline: Instant,
}

impl Queue {
    pub(super) fn new(stream: Stream) -> Self {
        Self {
            stream,
            queued: VecDeque::new(),
            in_flight: None,
            unconfirmed: None,
            paused_until: None,
            paced_until: None,
        }
    }

    pub(super) fn push(&mut self, record: Rc<Record>) {
        self.queued.push_back(record);
    }

    /// Number of records not yet known to be on the log.
    pub(super) fn len(&self) -> usize {
        let in_flight = self.in_flight.as_ref();
        let unconfirmed = self.unconfirmed.as_ref();
        self.queued.len()
            + in_flight.map_or(0, |batch| batch.records.len())
            + unconfirmed.map_or(0, |unconfirmed| unconfirmed.records.len())
    }

    pub(super) fn has_in_flight(&self, batch: BatchId) -> bool {
        self.in_flight.as_ref().is_some_and(|sent| sent.id == batch)
    }

    /// Returns the records of the next append, if one may start now.
    pub(super) fn start_append(
        &mut self,
        now: Instant,
        id: BatchId,
        interval: Duration,
    ) -> Option<Vec<Rc<Record>>> {
        let is_over_rate = self
            .paced_until
            .is_some_and(|until| until > now + BURST_ALLOWANCE);
        let is_paused = self.paused_until.is_some_and(|until| until > now);
        if is_over_rate || is_paused || self.in_flight.is_some() || self.queued.is_empty() {
            return None;
        }
        let count = self.queued.len().min(MAX_BATCH_RECORDS);
        let records: Vec<_> = self.queued.drain(..count).collect();
        self.paced_until = Some(self.paced_until.map_or(now, |until| until.max(now)) + interval);
        self.in_flight = Some(Batch {
            id,
            records: records.clone(),
        });
        Some(records)
    }

    /// Handles an accepted append and returns its records.
    pub(super) fn on_accepted(&mut self) -> Vec<Rc<Record>> {
        self.in_flight
            .take()
            .map_or(Vec::new(), |batch| batch.records)
    }

    /// Handles an append whose records are to be sent again: they return to the front of the queue.
    pub(super) fn on_refused(&mut self, now: Instant) {
        let records = self.in_flight.take().map(|batch| batch.records);
        self.requeue(records.unwrap_or_default());
        self.paused_until = Some(now + RETRY_PAUSE);
    }

    /// Handles an append that may have reached the log: its records wait until the log is read back.
    pub(super) fn on_unclear(&mut self, now: Instant) {
        let Some(batch) = self.in_flight.take() else {
            return;
        };
        let unconfirmed = self.unconfirmed.get_or_insert_with(|| Unconfirmed {
            records: Vec::new(),
            since: now,
            deadline: now + READ_BACK_TIMEOUT,
        });
        unconfirmed.records.extend(batch.records);
        unconfirmed.since = now;
        self.paused_until = Some(now + RETRY_PAUSE);
    }

    /// Removes the records that a page shows to be on the log.
    pub(super) fn on_page(&mut self, page: &Page) {
        let logged = page
            .entries
            .iter()
            .filter_map(|entry| entry.record.as_ref());
        for record in logged {
            if let Some(batch) = &mut self.in_flight {
                remove_record(&mut batch.records, record);
            }
            if let Some(unconfirmed) = &mut self.unconfirmed {
                remove_record(&mut unconfirmed.records, record);
            }
        }
        let since = self
            .unconfirmed
            .as_ref()
            .map(|unconfirmed| unconfirmed.since);
        if since.is_some_and(|since| page.requested_at >= since && page.is_last()) {
            self.requeue_unconfirmed();
        }
    }

    /// Queues unconfirmed records again once the read-back has timed out.
    pub(super) fn on_tick(&mut self, now: Instant) {
        let deadline = self
            .unconfirmed
            .as_ref()
            .map(|unconfirmed| unconfirmed.deadline);
        if deadline.is_some_and(|deadline| deadline <= now) {
            self.requeue_unconfirmed();
        }
    }

    fn requeue_unconfirmed(&mut self) {
        let records = self
            .unconfirmed
            .take()
            .map(|unconfirmed| unconfirmed.records);
        self.requeue(records.unwrap_or_default());
    }

    fn requeue(&mut self, records: Vec<Rc<Record>>) {
        for record in records.into_iter().rev() {
            self.queued.push_front(record);
        }
    }
}

fn remove_record(records: &mut Vec<Rc<Record>>, logged: &Record) {
    records.retain(|record| **record != *logged);
}
