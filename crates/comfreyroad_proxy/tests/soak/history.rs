//! Copies of the store, taken at intervals.

use std::time::{Duration, Instant};

use super::store::{Records, Store};

/// Time between two copies.
const INTERVAL: Duration = Duration::from_millis(250);
/// Age at which a copy is dropped.
const MAX_AGE: Duration = Duration::from_secs(9);

/// Copies of the store, the oldest first.
#[derive(Debug, Default)]
pub(super) struct History {
    copies: Vec<(Instant, Records)>,
}

impl History {
    /// Takes a copy if one is due.
    pub(super) fn take_due(&mut self, store: &Store) {
        let now = Instant::now();
        let last = self.copies.last();
        if last.is_none_or(|(at, _)| *at + INTERVAL <= now) {
            self.copies.retain(|(at, _)| *at + MAX_AGE > now);
            self.copies.push((now, store.copy()));
        }
    }

    /// The newest copy of at least the given age, or the oldest one.
    pub(super) fn copy(&self, age: Duration) -> Option<Records> {
        let now = Instant::now();
        let mut copies = self.copies.iter().rev();
        let old = copies.find(|(at, _)| *at + age <= now);
        old.or(self.copies.first()).map(|(_, it)| it.clone())
    }
}
