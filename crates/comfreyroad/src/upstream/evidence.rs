use std::time::{Duration, Instant, SystemTime};

use crate::clock::Now;
use crate::id::BootId;

/// Time for which a sighting shows that a start is still the current one.
const SIGHTING_LIFETIME: Duration = Duration::from_secs(5);

/// Time for which an entry's own sighting of a starting upstream lets it use its slots there.
const OWN_SIGHTING_LIFETIME: Duration = Duration::from_secs(2);

/// The observations that show which start of an upstream is the current one.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Evidence {
    /// When its program started, by the upstream's clock.
    pub started_at: Option<SystemTime>,
    /// Timestamp of the newest report, by the upstream's clock.
    pub reported_at: Option<SystemTime>,
    /// When this start was last seen by any entry.
    pub seen_at: Option<Instant>,
    /// When this entry itself last saw this start, in a report or an answer.
    pub own_seen_at: Option<Instant>,
    /// Whether it counts as warm only because of its long uptime; any direct observation overrules this.
    pub is_assumed_warm: bool,
    /// Sequence number of the last cache event that emptied its caches.
    pub clear_seq: u64,
    /// The start before this one; delayed reports from it are ignored.
    pub previous_boot: Option<BootId>,
    /// When a hint at a new start was last accepted.
    pub last_hint_at: Option<Instant>,
    /// An unconfirmed hint that it has restarted.
    pub suspicion: Option<Suspicion>,
}

/// The state of an upstream before a hint at a restart, kept until the hint is confirmed or refuted.
#[derive(Clone, Debug, PartialEq)]
pub struct Suspicion {
    /// Its start before the hint.
    pub boot: Option<BootId>,
    /// When that start began, by the upstream's clock.
    pub started_at: Option<SystemTime>,
    /// Its good answers before the hint.
    pub good_answers: u32,
    /// When the hint arrived.
    pub at: Now,
}

impl Suspicion {
    /// Whether a report with timestamp `at` that arrives now was made after the hint.
    pub fn is_resolved_by(&self, at: SystemTime, now: Now) -> bool {
        // The clocks of two machines may differ, so after a while any report counts.
        at >= self.at.system || now.instant >= self.at.instant + SIGHTING_LIFETIME
    }
}

impl Evidence {
    /// Whether any entry has seen the start recently.
    pub fn is_fresh(&self, now: Instant) -> bool {
        self.seen_at
            .is_some_and(|seen| seen + SIGHTING_LIFETIME > now)
    }

    /// Whether this entry itself has seen the start recently, so that it does not depend on reports from peers.
    pub fn is_own_fresh(&self, now: Instant) -> bool {
        self.own_seen_at
            .is_some_and(|seen| seen + OWN_SIGHTING_LIFETIME > now)
    }

    /// Records that this entry itself saw the start.
    pub(crate) fn record_own_sighting(&mut self, at: Instant) {
        self.own_seen_at = self.own_seen_at.max(Some(at));
        self.record_sighting(at);
    }

    /// Records that the start was seen by this entry or another one.
    pub(crate) fn record_sighting(&mut self, at: Instant) {
        self.seen_at = self.seen_at.max(Some(at));
    }
}
