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
    /// Puts records at the end and wakes the readers that wait for them.
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
            // A reader that has gone needs no waking.
            reader.send(()).ok();
        }
        Appended {
            first,
            next: self.next,
        }
    }

    /// Forgets what is over the bounds of retention.
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

    /// Records from offset `from`, or from the oldest kept.
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

    /// Whether there is something at `from` or after it.
    #[must_use]
    pub fn reaches(&self, from: u64) -> bool {
        from < self.next
    }

    /// Resolves with the next append.
    pub fn appended(&mut self) -> oneshot::Receiver<()> {
        let (sender, receiver) = oneshot::channel();
        self.readers.retain(|reader| !reader.is_canceled());
        self.readers.push(sender);
        receiver
    }

    /// Offset of the oldest record kept, or of the next one.
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
