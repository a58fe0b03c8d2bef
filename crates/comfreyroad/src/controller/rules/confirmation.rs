use std::time::{Duration, Instant};

/// The last moment at which the rules were known to be the newest, and the thresholds of its age.
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

    /// Records that the rules were the newest at a moment.
    pub(super) fn confirm(&mut self, at: Instant) {
        self.at = Some(self.at.map_or(at, |known| known.max(at)));
    }

    /// Whether to request a newer confirmation from peers.
    pub(super) fn needs_peer_update(&self, now: Instant) -> bool {
        self.is_older_than(now, self.stale_after * 2 / 5)
    }

    /// Whether the log seems unreachable for the entries that usually read it.
    pub(super) fn is_outage_suspected(&self, now: Instant) -> bool {
        self.is_older_than(now, self.stale_after * 3 / 5)
    }

    /// Whether this entry is to read the log itself.
    pub(super) fn needs_log_read(&self, now: Instant) -> bool {
        self.is_older_than(now, self.stale_after * 3 / 4)
    }

    pub(super) fn is_stale(&self, now: Instant) -> bool {
        self.is_older_than(now, self.stale_after)
    }

    fn is_older_than(&self, now: Instant, max_age: Duration) -> bool {
        self.at.is_none_or(|at| at + max_age < now)
    }
}
