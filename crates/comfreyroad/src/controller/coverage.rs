//! How far back a stream was read without a gap.

use std::time::SystemTime;

use crate::event::Page;
use crate::id::Offset;

/// The part of a stream that was read whole: from some moment on, up to the last page.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Coverage {
    next: Offset,
    // `None`: from the first record that the stream ever had.
    since: Option<SystemTime>,
    // Records were dropped before they could be read, and nothing has been read since.
    has_gap: bool,
}

impl Coverage {
    /// Takes note of a page, before its records are used.
    pub fn read(&mut self, page: &Page) {
        self.has_gap |= page.oldest > self.next;
        if self.has_gap
            && let Some(first) = page.entries.first()
        {
            self.since = Some(first.at);
            self.has_gap = false;
        }
        self.next = self.next.max(page.after());
    }

    /// Whether every record from a moment on, up to the last page, was read.
    pub fn covers(&self, from: SystemTime) -> bool {
        // Records of one moment may have been dropped in part, hence the strict order.
        !self.has_gap && self.since.is_none_or(|since| since < from)
    }

    /// Offset after the last record read.
    pub fn next(&self) -> Offset {
        self.next
    }
}
