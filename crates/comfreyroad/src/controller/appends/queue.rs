use std::collections::VecDeque;
use std::rc::Rc;
use std::time::{Duration, Instant};

use crate::event::Page;
use crate::id::BatchId;
use crate::record::{Record, Stream};

/// Records in one append at most.
const BATCH: usize = 256;
/// Pause after an append that was not taken or is unclear.
const PAUSE: Duration = Duration::from_millis(100);
/// How far appends may run ahead of their rate, so that a few at once need not wait.
const BURST: Duration = Duration::from_millis(500);
/// Longest wait for the pages that show what became of an unclear append.
const READ_BACK: Duration = Duration::from_secs(3);

/// Records for one stream.
#[derive(Debug)]
pub(super) struct Queue {
    pub(super) stream: Stream,
    waiting: VecDeque<Rc<Record>>,
    under_way: Option<Batch>,
    doubtful: Option<Doubtful>,
    not_before: Option<Instant>,
    // When the appends so far are paid for, at one an interval.
    paid_at: Option<Instant>,
}

/// An append under way.
#[derive(Debug)]
struct Batch {
    id: BatchId,
    records: Vec<Rc<Record>>,
}

/// Records of appends without a clear answer.
#[derive(Debug)]
struct Doubtful {
    records: Vec<Rc<Record>>,
    // A page asked for from then on would show what was taken before.
    since: Instant,
    until: Instant,
}

impl Queue {
    pub(super) fn new(stream: Stream) -> Self {
        Self {
            stream,
            waiting: VecDeque::new(),
            under_way: None,
            doubtful: None,
            not_before: None,
            paid_at: None,
        }
    }

    pub(super) fn push(&mut self, record: Rc<Record>) {
        self.waiting.push_back(record);
    }

    /// Records not yet known to be on the log.
    pub(super) fn len(&self) -> usize {
        let under_way = self.under_way.as_ref();
        let doubtful = self.doubtful.as_ref();
        self.waiting.len()
            + under_way.map_or(0, |batch| batch.records.len())
            + doubtful.map_or(0, |doubtful| doubtful.records.len())
    }

    pub(super) fn is_at(&self, batch: BatchId) -> bool {
        self.under_way.as_ref().is_some_and(|at| at.id == batch)
    }

    /// The next append, where one may start.
    pub(super) fn start(
        &mut self,
        now: Instant,
        id: BatchId,
        interval: Duration,
    ) -> Option<Vec<Rc<Record>>> {
        let is_ahead = self.paid_at.is_some_and(|at| at > now + BURST);
        let is_paused = self.not_before.is_some_and(|at| at > now);
        if is_ahead || is_paused || self.under_way.is_some() || self.waiting.is_empty() {
            return None;
        }
        let count = self.waiting.len().min(BATCH);
        let records: Vec<_> = self.waiting.drain(..count).collect();
        self.paid_at = Some(self.paid_at.map_or(now, |at| at.max(now)) + interval);
        self.under_way = Some(Batch {
            id,
            records: records.clone(),
        });
        Some(records)
    }

    /// The append was taken.
    pub(super) fn on_taken(&mut self) -> Vec<Rc<Record>> {
        self.under_way.take().map_or(Vec::new(), |at| at.records)
    }

    /// The append was certainly not taken.
    pub(super) fn on_refused(&mut self, now: Instant) {
        let records = self.under_way.take().map(|at| at.records);
        self.again(records.unwrap_or_default());
        self.not_before = Some(now + PAUSE);
    }

    /// The append may have been taken: its records wait for what the log shows.
    pub(super) fn on_unclear(&mut self, now: Instant) {
        let Some(batch) = self.under_way.take() else {
            return;
        };
        let doubtful = self.doubtful.get_or_insert_with(|| Doubtful {
            records: Vec::new(),
            since: now,
            until: now + READ_BACK,
        });
        doubtful.records.extend(batch.records);
        doubtful.since = now;
        self.not_before = Some(now + PAUSE);
    }

    /// Strikes out what a page shows to be on the log.
    pub(super) fn on_page(&mut self, page: &Page) {
        let shown = page
            .entries
            .iter()
            .filter_map(|entry| entry.record.as_ref());
        for record in shown {
            if let Some(batch) = &mut self.under_way {
                strike(&mut batch.records, record);
            }
            if let Some(doubtful) = &mut self.doubtful {
                strike(&mut doubtful.records, record);
            }
        }
        let since = self.doubtful.as_ref().map(|doubtful| doubtful.since);
        if since.is_some_and(|since| page.asked >= since && page.is_last()) {
            self.resolve();
        }
    }

    /// Appends again what has been doubtful for too long.
    pub(super) fn on_tick(&mut self, now: Instant) {
        let until = self.doubtful.as_ref().map(|doubtful| doubtful.until);
        if until.is_some_and(|until| until <= now) {
            self.resolve();
        }
    }

    fn resolve(&mut self) {
        let records = self.doubtful.take().map(|doubtful| doubtful.records);
        self.again(records.unwrap_or_default());
    }

    fn again(&mut self, records: Vec<Rc<Record>>) {
        for record in records.into_iter().rev() {
            self.waiting.push_front(record);
        }
    }
}

fn strike(records: &mut Vec<Rc<Record>>, shown: &Record) {
    records.retain(|record| **record != *shown);
}
