//! Records which entries were disturbed by faults, and when.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Time after a disturbance until the invariants with time bounds apply again.
const SETTLE_TIME: Duration = Duration::from_millis(3000);

/// The entries that a disturbance affects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Scope {
    /// All entries, because the store or an engine is disturbed.
    All,
    /// One entry.
    Entry(usize),
}

/// The disturbances of a run; clones share the data.
#[derive(Clone, Debug, Default)]
pub(super) struct Disturbances {
    intervals: Arc<Mutex<Vec<(Scope, Instant, Instant)>>>,
}

impl Disturbances {
    /// Records a disturbance that starts now, and returns its start.
    pub(super) fn add(&self, scope: Scope, duration: Duration) -> Instant {
        let now = Instant::now();
        self.intervals
            .lock()
            .unwrap()
            .push((scope, now, now + duration));
        now
    }

    /// Whether an entry was undisturbed between two instants, and for [`SETTLE_TIME`] before the first.
    pub(super) fn is_undisturbed(&self, entry: usize, from: Instant, to: Instant) -> bool {
        self.is_undisturbed_except(entry, from, to, None)
    }

    /// Like [`Self::is_undisturbed`], but ignores a disturbance that started at the given instant.
    pub(super) fn is_undisturbed_except(
        &self,
        entry: usize,
        from: Instant,
        to: Instant,
        ignored_start: Option<Instant>,
    ) -> bool {
        let intervals = self.intervals.lock().unwrap();
        let affects = |scope: Scope| scope == Scope::All || scope == Scope::Entry(entry);
        let mut intervals = intervals
            .iter()
            .filter(|(_, started, _)| Some(*started) != ignored_start);
        !intervals.any(|(scope, started, ended)| {
            affects(*scope) && *started <= to && *ended + SETTLE_TIME >= from
        })
    }
}
