use std::time::{Duration, Instant};

use indexmap::IndexMap;

use crate::frame::LogOutage;
use crate::id::ZoneId;

/// The newest report of each zone in which the log seems unreachable.
///
/// A report states that no entry which its author can reach is able to confirm the rules. It is gossiped with its age and
/// expires soon, because a zone that has become unreachable may have access to the log.
#[derive(Debug)]
pub(super) struct Outages {
    reported_at: IndexMap<ZoneId, Instant>,
    lifetime: Duration,
}

impl Outages {
    pub(super) fn new(stale_after: Duration) -> Self {
        Self {
            reported_at: IndexMap::new(),
            lifetime: stale_after / 2,
        }
    }

    /// Records that the log was unreachable for entries of a zone at a moment.
    pub(super) fn record(&mut self, zone: &ZoneId, at: Instant) {
        let Some(known) = self.reported_at.get_mut(zone) else {
            self.reported_at.insert(zone.clone(), at);
            return;
        };
        *known = at.max(*known);
    }

    /// Whether a zone has an unexpired report.
    pub(super) fn has(&self, zone: &ZoneId, now: Instant) -> bool {
        self.reported_at
            .get(zone)
            .is_some_and(|at| *at + self.lifetime >= now)
    }

    /// The unexpired reports, for gossip.
    pub(super) fn recent(&mut self, now: Instant) -> Vec<LogOutage> {
        let lifetime = self.lifetime;
        self.reported_at.retain(|_, at| *at + lifetime >= now);
        let report = |(zone, at): (&ZoneId, &Instant)| LogOutage {
            zone: zone.clone(),
            age: now.saturating_duration_since(*at),
        };
        self.reported_at.iter().map(report).collect()
    }
}
