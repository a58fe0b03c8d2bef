use std::time::{Duration, Instant};

use indexmap::IndexMap;

use super::exchange::MAX_CUSTOMERS_PER_FRAME;
use crate::frame::{Frame, PoolUsage, ZoneUsage};
use crate::id::{EntryId, ZoneId};

/// Age up to which a report counts. Entries of a large zone send one to each relay in turn.
const MAX_AGE: Duration = Duration::from_secs(5);
/// Age up to which a report of more entries is kept instead of a newer one of fewer: another relay of the zone may just have
/// started.
const PREFERRED_AGE: Duration = Duration::from_millis(1500);
/// Maximum number of zones from which reports are kept.
const MAX_ZONES: usize = 32;
/// Maximum number of entries of this zone from which reports are kept.
const MAX_ENTRIES: usize = 256;

/// Maximum number of pools in a report.
const MAX_POOLS: usize = 64;

/// What other entries report about the usage of customers.
#[derive(Debug, Default)]
pub(super) struct Reports {
    // Reports of entries of this zone, and when they arrived. Kept by relays only.
    entries: IndexMap<EntryId, (Instant, Vec<PoolUsage>)>,
    // Sums of zones, and when they were made.
    zones: IndexMap<ZoneId, (Instant, ZoneUsage)>,
}

impl Reports {
    /// Takes the report of an entry of this zone.
    pub(super) fn on_entry(&mut self, now: Instant, frame: &Frame) {
        let entry = &frame.sender.entry;
        if is_too_long(&frame.usage) {
            return;
        }
        if self.entries.len() < MAX_ENTRIES || self.entries.contains_key(entry) {
            let report = (now, frame.usage.clone());
            self.entries.insert(entry.clone(), report);
        }
    }

    /// Takes the sum of a zone, unless a better one is known.
    pub(super) fn on_zone(&mut self, now: Instant, report: &ZoneUsage) {
        let Some(made_at) = now.checked_sub(report.age) else {
            return;
        };
        if is_too_long(&report.pools) {
            return;
        }
        let known = self.zones.get(&report.zone);
        let is_better = known.is_none_or(|(known_at, known)| {
            let is_newer = made_at > *known_at;
            let has_aged = *known_at + PREFERRED_AGE <= now;
            is_newer && (has_aged || report.entries >= known.entries)
        });
        let has_room = known.is_some() || self.zones.len() < MAX_ZONES;
        if is_better && has_room && report.age < MAX_AGE {
            self.zones
                .insert(report.zone.clone(), (made_at, report.clone()));
        }
    }

    /// Forgets reports that are out of date.
    pub(super) fn expire(&mut self, now: Instant) {
        self.entries.retain(|_, (at, _)| *at + MAX_AGE > now);
        self.zones.retain(|_, (at, _)| *at + MAX_AGE > now);
    }

    /// The reports of entries of this zone.
    pub(super) fn entries(&self) -> impl Iterator<Item = &Vec<PoolUsage>> {
        self.entries.values().map(|(_, usage)| usage)
    }

    /// The sums of all zones, with their ages.
    pub(super) fn zones(&self, now: Instant) -> impl Iterator<Item = ZoneUsage> {
        self.zones.values().map(move |(at, report)| ZoneUsage {
            age: now.saturating_duration_since(*at),
            ..report.clone()
        })
    }

    /// The sum of a zone.
    pub(super) fn zone(&self, zone: &ZoneId) -> Option<&ZoneUsage> {
        self.zones.get(zone).map(|(_, report)| report)
    }
}

/// Whether a report lists more than an entry ever does.
fn is_too_long(report: &[PoolUsage]) -> bool {
    let customers: usize = report.iter().map(|pool| pool.largest.len()).sum();
    report.len() > MAX_POOLS || customers > MAX_CUSTOMERS_PER_FRAME
}
