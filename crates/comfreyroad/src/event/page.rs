use std::time::{Instant, SystemTime};

use crate::id::Offset;
use crate::record::{Record, Stream};

/// A page read from the log.
#[derive(Clone, Debug)]
pub struct Page {
    /// The stream.
    pub stream: Stream,
    /// When the question was sent, so that a slow answer counts as old.
    pub asked: Instant,
    /// The offset that was asked for.
    pub from: Offset,
    /// Offset of the oldest record still kept.
    pub oldest: Offset,
    /// Offset that the next record will get.
    pub next: Offset,
    /// Records by rising offset; those that could not be read are `None`.
    pub entries: Vec<Entry>,
}

/// A record at its place in the log.
#[derive(Clone, Debug)]
pub struct Entry {
    /// Its place.
    pub offset: Offset,
    /// When the log took it.
    pub at: SystemTime,
    /// The record; `None` where this program cannot read it.
    pub record: Option<Record>,
}

impl Page {
    /// The offset from which to read on.
    pub fn after(&self) -> Offset {
        self.entries
            .last()
            .map_or(self.from.max(self.oldest), |entry| entry.offset + 1)
    }

    /// Whether this page ends where the stream ended when it was read.
    pub fn is_last(&self) -> bool {
        self.after() >= self.next
    }
}
