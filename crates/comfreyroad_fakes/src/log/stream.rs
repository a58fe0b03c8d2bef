use std::collections::VecDeque;
use std::time::Duration;

use comfreyroad_wire::platform::{Append, Appended, Page, Record};
use futures_channel::oneshot;

use crate::time::{millis, now_ms};

/// One stream of records.
#[derive(Debug, Default)]
pub struct Stream {
    next: u64,
    records: VecDeque<Record>,
    readers: Vec<oneshot::Sender<()>>,
}

impl Stream {
    /// Appends records and wakes the waiting readers.
    pub fn append(&mut self, append: Append) -> Appended {
        let first = self.next;
        let at_ms = now_ms();
        for body in append.records {
            self.records.push_back(Record {
                offset: self.next,
                at_ms,
                body,
            });
            self.next += 1;
        }
        for reader in self.readers.drain(..) {
            // The send fails when the reader has disconnected.
            reader.send(()).ok();
        }
        Appended {
            first,
            next: self.next,
        }
    }

    /// Drops the oldest records beyond the retention limits.
    pub fn trim(&mut self, max_records: usize, max_age: Duration) {
        let oldest_ms = now_ms().saturating_sub(millis(max_age));
        while self.records.len() > max_records
            || self
                .records
                .front()
                .is_some_and(|record| record.at_ms < oldest_ms)
        {
            self.records.pop_front();
        }
    }

    /// At most `limit` records from offset `from`, or from the oldest retained one when `from` has expired.
    #[must_use]
    pub fn page(&self, from: u64, limit: usize) -> Page {
        let oldest = self.oldest();
        let skip = usize::try_from(from.saturating_sub(oldest)).unwrap_or(usize::MAX);
        let records = self
            .records
            .iter()
            .skip(skip)
            .take(limit)
            .cloned()
            .collect();
        Page {
            oldest,
            next: self.next,
            records,
        }
    }

    /// Whether the stream has appended a record at or after offset `from`.
    #[must_use]
    pub fn has_from(&self, from: u64) -> bool {
        from < self.next
    }

    /// Returns a receiver that resolves at the next append.
    pub fn appended(&mut self) -> oneshot::Receiver<()> {
        let (sender, receiver) = oneshot::channel();
        self.readers.retain(|reader| !reader.is_canceled());
        self.readers.push(sender);
        receiver
    }

    /// Offset of the oldest retained record, or of the next record when none is retained.
    #[must_use]
    pub fn oldest(&self) -> u64 {
        self.records
            .front()
            .map_or(self.next, |record| record.offset)
    }

    /// Offset that the next record will get.
    #[must_use]
    pub fn next(&self) -> u64 {
        self.next
    }
}
