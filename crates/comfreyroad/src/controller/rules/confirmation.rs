use std::time::{Duration, Instant};

/// The last moment at which the rules were known to be the newest, and what its age calls for.
#[derive(Debug)]
pub(super) struct Confirmation {
    at: Option<Instant>,
    stale_after: Duration,
}

impl Confirmation {
    pub(super) fn new(stale_after: Duration) -> Self {
        Self {
            at: None,
            stale_after,
        }
    }

    pub(super) fn at(&self) -> Option<Instant> {
        self.at
    }

    /// Takes in a moment at which the rules were the newest.
    pub(super) fn confirm(&mut self, at: Instant) {
        self.at = Some(self.at.map_or(at, |known| known.max(at)));
    }

    /// Whether a peer who may know better is to be asked.
    pub(super) fn is_old(&self, now: Instant) -> bool {
        self.is_past(now, self.stale_after * 2 / 5)
    }

    /// Whether the log seems out of reach of the entries that usually read it.
    pub(super) fn is_doubtful(&self, now: Instant) -> bool {
        self.is_past(now, self.stale_after * 3 / 5)
    }

    /// Whether this entry is to read the log itself.
    pub(super) fn is_overdue(&self, now: Instant) -> bool {
        self.is_past(now, self.stale_after * 3 / 4)
    }

    pub(super) fn is_stale(&self, now: Instant) -> bool {
        self.is_past(now, self.stale_after)
    }

    fn is_past(&self, now: Instant, bound: Duration) -> bool {
        self.at.is_none_or(|at| at + bound < now)
    }
}
