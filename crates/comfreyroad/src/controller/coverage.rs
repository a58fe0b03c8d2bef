//! Tracks how far back a stream was read without a gap.

use std::time::SystemTime;

use crate::event::Page;
use crate::id::Offset;

/// The part of a stream that was read without a gap, from some time on up to the last page.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Coverage {
    next: Offset,
    // `None` if the stream was read from its first record on.
    since: Option<SystemTime>,
    // Whether records were dropped before they could be read and no record has been read since.
    has_gap: bool,
}

impl Coverage {
    /// Adds a page; called before its records are used.
    pub fn add_page(&mut self, page: &Page) {
        self.has_gap |= page.oldest > self.next;
        if self.has_gap
            && let Some(first) = page.entries.first()
        {
            self.since = Some(first.at);
            self.has_gap = false;
        }
        self.next = self.next.max(page.after());
    }

    /// Whether every record from a time on up to the last page was read.
    pub fn covers(&self, from: SystemTime) -> bool {
        // The comparison is strict because some of the records with one timestamp may have been dropped.
        !self.has_gap && self.since.is_none_or(|since| since < from)
    }

    /// Returns the offset after the last record read.
    pub fn next(&self) -> Offset {
        self.next
    }
}
