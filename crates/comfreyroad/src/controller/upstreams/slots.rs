use std::rc::Rc;
use std::time::Instant;

use indexmap::IndexMap;

use super::Upstreams;
use crate::clock::Now;
use crate::frame::View;
use crate::id::{UpstreamId, ZoneId};
use crate::mechanism::Mechanism;
use crate::rendezvous;
use crate::rules::Pool;
use crate::upstream::{Any, Info};

impl Upstreams {
    /// Maximum number of concurrent requests that this entry may have at an upstream.
    pub(super) fn limit(&self, now: Instant, upstream: &Any, pool: &Pool) -> u32 {
        let info = upstream.info();
        match upstream {
            Any::Leaving(_) => 0,
            _ if pool.cold_capacity >= pool.warm_capacity => pool.warm_capacity,
            Any::Warm(_) if info.evidence.is_fresh(now) => pool.warm_capacity,
            _ if !self.is_enabled(Mechanism::SlotOwnership) => Self::open_slots(upstream, pool),
            _ if !info.evidence.is_own_fresh(now) => 0,
            _ => self.usable_at(now, info).count() as u32,
        }
    }

    /// Slots of an upstream that this entry may use. A warm upstream has no individual slots.
    pub fn usable_slots(&self, now: Now, upstream: &str) -> Vec<u32> {
        let upstream = self.upstreams.get(upstream);
        let starting = upstream.filter(|it| !matches!(it, Any::Warm(_) | Any::Leaving(_)));
        starting.map_or_else(Vec::new, |it| {
            self.usable_at(now.instant, it.info()).collect()
        })
    }

    fn usable_at<'a>(&self, now: Instant, info: &'a Info) -> impl Iterator<Item = u32> + use<'a> {
        let settling_time = if self.is_enabled(Mechanism::SlotSettling) {
            self.settling_time
        } else {
            std::time::Duration::ZERO
        };
        info.allocation
            .usable_slots(now, settling_time, self.is_enabled(Mechanism::SlotInFlight))
    }

    /// Number of open slots: those of a cold upstream, and one more after every few good answers.
    fn open_slots(upstream: &Any, pool: &Pool) -> u32 {
        let more = upstream.good_answers() / (2 * pool.cold_capacity.max(1));
        pool.cold_capacity
            .saturating_add(more)
            .min(pool.warm_capacity)
    }

    /// Number of good answers after which an upstream is warm.
    pub(super) fn warm_threshold(&self, info: &Info) -> Option<u32> {
        let pool = self.rules.as_ref()?.rules.pools.get(&info.pool)?;
        let steps = pool.warm_capacity.saturating_sub(pool.cold_capacity).max(1);
        Some(2 * pool.cold_capacity.max(1) * steps)
    }

    /// Applies a new view. In a zone whose slot holders have changed, slot ownership settles anew from now on.
    pub(super) fn on_members(&mut self, now: Now, view: &Rc<View>) {
        let before = Self::holders_by_zone(&self.view);
        let after = Self::holders_by_zone(view);
        let was_isolated = self.view.is_isolated || before.is_empty();
        // When a zone loses its last slot holder or gets its first, holders of another zone take over or hand back.
        let zones_changed =
            before.len() != after.len() || after.keys().any(|it| !before.contains_key(it));
        for (zone, holders) in &after {
            if was_isolated || zones_changed || before.get(zone) != Some(holders) {
                self.holders_changed_at.insert((*zone).clone(), now.instant);
            }
        }
        self.holders_changed_at
            .retain(|zone, _| after.contains_key(zone));
        self.view = Rc::clone(view);
        self.assign_all_slots(now);
    }

    fn holders_by_zone(view: &View) -> IndexMap<&ZoneId, Vec<&str>> {
        let mut zones: IndexMap<_, Vec<&str>> = IndexMap::new();
        for (entry, zone) in &view.slot_holders {
            zones.entry(zone).or_default().push(entry);
        }
        zones
    }

    /// Reassigns the slots of every upstream.
    pub(super) fn assign_all_slots(&mut self, now: Now) {
        let ids: Vec<UpstreamId> = self.upstreams.keys().cloned().collect();
        for id in ids {
            self.assign_slots(now, &id);
        }
    }

    /// Determines the slots of one upstream that this entry owns. Lost slots are dropped at once.
    pub(super) fn assign_slots(&mut self, now: Now, id: &UpstreamId) {
        let slots = self.owned_slots(id);
        let is_poller = self
            .upstreams
            .get(id)
            .is_some_and(|it| self.is_poller(it.info()));
        let owned_since = self
            .holders_changed_at
            .get(&self.zone)
            .copied()
            .unwrap_or(now.instant);
        let Some(upstream) = self.upstreams.get_mut(id) else {
            return;
        };
        let info = upstream.info_mut();
        info.is_poller = is_poller;
        let allocation = &mut info.allocation;
        allocation.slots.retain(|slot, _| slots.contains(slot));
        for slot in slots {
            allocation.slots.entry(slot).or_insert(owned_since);
        }
    }

    /// The open slots for which this entry has the highest rendezvous hash.
    fn owned_slots(&self, id: &UpstreamId) -> Vec<u32> {
        let Some(upstream) = self.upstreams.get(id) else {
            return Vec::new();
        };
        let info = upstream.info();
        let pool = self
            .rules
            .as_ref()
            .and_then(|rules| rules.rules.pools.get(&info.pool));
        let Some(pool) = pool else {
            return Vec::new();
        };
        if self.view.is_isolated || upstream.is_leaving() || info.boot.is_none() {
            return Vec::new();
        }
        let open_slots = if self.is_enabled(Mechanism::WarmUp) {
            Self::open_slots(upstream, pool)
        } else {
            pool.warm_capacity
        };
        let holders: Vec<&str> = self.view.slot_holders_for(&info.zone).collect();
        let is_own = |slot: &u32| {
            // The boot is not part of the key. Otherwise one slot could have two owners while an entry still knows the
            // previous boot.
            let key = format!("{id}/{slot}");
            rendezvous::owner(&key, holders.iter().copied()) == Some(&*self.entry)
        };
        (0..open_slots).filter(is_own).collect()
    }
}
