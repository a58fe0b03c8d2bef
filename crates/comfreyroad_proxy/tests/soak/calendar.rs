//! Which parts were disturbed, and when.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Time after a disturbance before bounded promises hold again.
const SETTLE: Duration = Duration::from_millis(3000);

/// What was disturbed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Scope {
    /// All entries, as the store or an engine was.
    All,
    /// One entry.
    Entry(usize),
}

/// The disturbances of a run; clones share them.
#[derive(Clone, Debug, Default)]
pub(super) struct Calendar {
    times: Arc<Mutex<Vec<(Scope, Instant, Instant)>>>,
}

impl Calendar {
    pub(super) fn add(&self, scope: Scope, lasts: Duration) {
        let now = Instant::now();
        self.times.lock().unwrap().push((scope, now, now + lasts));
    }

    /// Whether an entry was undisturbed from a while before a moment until another.
    pub(super) fn is_calm(&self, entry: usize, from: Instant, to: Instant) -> bool {
        self.is_calm_but(entry, from, to, None)
    }

    /// The same, but for a disturbance that began at a moment.
    pub(super) fn is_calm_but(
        &self,
        entry: usize,
        from: Instant,
        to: Instant,
        but: Option<Instant>,
    ) -> bool {
        let times = self.times.lock().unwrap();
        let concerns = |scope: Scope| scope == Scope::All || scope == Scope::Entry(entry);
        let mut times = times.iter().filter(|(_, began, _)| Some(*began) != but);
        !times.any(|(scope, began, ended)| {
            concerns(*scope) && *began <= to && *ended + SETTLE >= from
        })
    }
}
