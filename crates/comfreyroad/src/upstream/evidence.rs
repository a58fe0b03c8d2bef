use std::time::{Duration, Instant, SystemTime};

use crate::clock::Now;
use crate::id::BootId;

/// Time for which a start counts as the present one after the last sign of it.
const TRUST: Duration = Duration::from_secs(5);

/// Time for which an entry's own sight of a starting upstream lets it use its slots.
const WITNESS: Duration = Duration::from_secs(2);

/// How sure an entry is that it knows an upstream's present start.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Evidence {
    /// When its program started, by its own clock.
    pub born: Option<SystemTime>,
    /// When the newest report was true, by its own clock.
    pub at: Option<SystemTime>,
    /// The last moment at which this start was seen.
    pub seen: Option<Instant>,
    /// The last moment at which this entry itself has seen this start, by a report or an answer.
    pub witnessed: Option<Instant>,
    /// Whether it counts as warm for its long uptime alone, which anyone who knows better overrules.
    pub is_assumed: bool,
    /// Number of the cache event by which its caches were last emptied.
    pub cleared: u64,
    /// The start before, whose late reports do not count.
    pub former: Option<BootId>,
    /// When a hint at a new start was last taken.
    pub hinted: Option<Instant>,
    /// A sign that it may have started again, not yet confirmed.
    pub doubt: Option<Doubt>,
}

/// What was known of an upstream before something hinted at a new start.
#[derive(Clone, Debug, PartialEq)]
pub struct Doubt {
    /// Its start until then.
    pub boot: Option<BootId>,
    /// When that started, by the upstream's clock.
    pub born: Option<SystemTime>,
    /// Its good answers until then.
    pub good: u32,
    /// When the hint came.
    pub at: Now,
}

impl Doubt {
    /// Whether a report that was true at a time, and arrives now, is later than the hint.
    pub fn is_settled_by(&self, at: SystemTime, now: Now) -> bool {
        // Clocks of two machines may differ; after a while any report will do.
        at >= self.at.system || now.instant >= self.at.instant + TRUST
    }
}

impl Evidence {
    /// Whether the start was seen of late.
    pub fn is_fresh(&self, now: Instant) -> bool {
        self.seen.is_some_and(|seen| seen + TRUST > now)
    }

    /// Whether this entry itself has seen the start of late, and need not rely on what others say.
    pub fn is_witnessed(&self, now: Instant) -> bool {
        self.witnessed.is_some_and(|seen| seen + WITNESS > now)
    }

    /// This entry itself has seen the start at a moment.
    pub(crate) fn witness(&mut self, at: Instant) {
        self.witnessed = self.witnessed.max(Some(at));
        self.see(at);
    }

    /// The start was seen at a moment.
    pub(crate) fn see(&mut self, at: Instant) {
        self.seen = self.seen.max(Some(at));
    }
}
