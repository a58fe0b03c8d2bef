use std::time::{Instant, SystemTime};

use crate::id::Offset;
use crate::record::{Record, Stream};

/// A page read from the log.
#[derive(Clone, Debug)]
pub struct Page {
    /// The stream.
    pub stream: Stream,
    /// When the read was sent. The age of the page counts from here, since the answer may have been slow.
    pub requested_at: Instant,
    /// The requested offset.
    pub from: Offset,
    /// Offset of the oldest record that the log still retains.
    pub oldest: Offset,
    /// Offset of the next record to be appended.
    pub next: Offset,
    /// Records in the order of their offsets. The record of an entry that could not be decoded is `None`.
    pub entries: Vec<Entry>,
}

/// A record with its offset and timestamp.
#[derive(Clone, Debug)]
pub struct Entry {
    /// Its offset.
    pub offset: Offset,
    /// When the log accepted it.
    pub at: SystemTime,
    /// The record; `None` if this program cannot decode it.
    pub record: Option<Record>,
}

impl Page {
    /// The offset from which to continue reading.
    pub fn after(&self) -> Offset {
        self.entries
            .last()
            .map_or(self.from.max(self.oldest), |entry| entry.offset + 1)
    }

    /// Whether this page reaches the end of the stream as of the read.
    pub fn is_last(&self) -> bool {
        self.after() >= self.next
    }
}
