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
    /// Requests that this entry may have at an upstream at once.
    pub(super) fn limit(&self, now: Instant, upstream: &Any, pool: &Pool) -> u32 {
        let info = upstream.info();
        match upstream {
            Any::Leaving(_) => 0,
            _ if pool.cold >= pool.bears => pool.bears,
            Any::Warm(_) if info.evidence.is_fresh(now) => pool.bears,
            _ if !self.has(Mechanism::SlotOwnership) => Self::open(upstream, pool),
            _ if !info.evidence.is_witnessed(now) => 0,
            _ => self.usable(now, info).count() as u32,
        }
    }

    /// Slots of an upstream that this entry may use; none are told apart once it is warm.
    pub fn usable_slots(&self, now: Now, upstream: &str) -> Vec<u32> {
        let upstream = self.known.get(upstream);
        let starting = upstream.filter(|it| !matches!(it, Any::Warm(_) | Any::Leaving(_)));
        starting.map_or_else(Vec::new, |it| self.usable(now.instant, it.info()).collect())
    }

    fn usable<'a>(&self, now: Instant, info: &'a Info) -> impl Iterator<Item = u32> + use<'a> {
        let settle = if self.has(Mechanism::SlotSettling) {
            self.settle
        } else {
            std::time::Duration::ZERO
        };
        info.share
            .usable(now, settle, self.has(Mechanism::SlotFlight))
    }

    /// Slots that are open: those of a cold upstream, and more for each good answer.
    fn open(upstream: &Any, pool: &Pool) -> u32 {
        let more = upstream.good() / (2 * pool.cold.max(1));
        pool.cold.saturating_add(more).min(pool.bears)
    }

    /// Good answers after which an upstream is warm.
    pub(super) fn full(&self, info: &Info) -> Option<u32> {
        let pool = self.rules.as_ref()?.rules.pools.get(&info.pool)?;
        let steps = pool.bears.saturating_sub(pool.cold).max(1);
        Some(2 * pool.cold.max(1) * steps)
    }

    /// Takes a new view; a zone whose seats have changed counts as divided anew from now on.
    pub(super) fn on_view(&mut self, now: Now, view: &Rc<View>) {
        let before = Self::zones(&self.view);
        let after = Self::zones(view);
        let all = self.view.is_void || before.is_empty();
        // Where a zone loses its last seat or gets its first, others step in or back.
        let moves = before.len() != after.len() || after.keys().any(|it| !before.contains_key(it));
        for (zone, seats) in &after {
            if all || moves || before.get(zone) != Some(seats) {
                self.seated.insert((*zone).clone(), now.instant);
            }
        }
        self.seated.retain(|zone, _| after.contains_key(zone));
        self.view = Rc::clone(view);
        self.divide_all(now);
    }

    fn zones(view: &View) -> IndexMap<&ZoneId, Vec<&str>> {
        let mut zones: IndexMap<_, Vec<&str>> = IndexMap::new();
        for (entry, zone) in &view.seats {
            zones.entry(zone).or_default().push(entry);
        }
        zones
    }

    /// Divides the slots of every upstream anew.
    pub(super) fn divide_all(&mut self, now: Now) {
        let ids: Vec<UpstreamId> = self.known.keys().cloned().collect();
        for id in ids {
            self.divide(now, &id);
        }
    }

    /// Finds the slots of one upstream that belong to this entry. Lost ones are gone at once.
    pub(super) fn divide(&mut self, now: Now, id: &UpstreamId) {
        let slots = self.owned(id);
        let is_poller = self
            .known
            .get(id)
            .is_some_and(|it| self.is_poller(it.info()));
        let since = self.seated.get(&self.zone).copied().unwrap_or(now.instant);
        let Some(upstream) = self.known.get_mut(id) else {
            return;
        };
        let info = upstream.info_mut();
        info.is_poller = is_poller;
        let share = &mut info.share;
        share.slots.retain(|slot, _| slots.contains(slot));
        for slot in slots {
            share.slots.entry(slot).or_insert(since);
        }
    }

    /// The open slots whose highest hash is this entry's.
    fn owned(&self, id: &UpstreamId) -> Vec<u32> {
        let Some(upstream) = self.known.get(id) else {
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
        if self.view.is_void || upstream.is_leaving() || info.boot.is_none() {
            return Vec::new();
        }
        let open = if self.has(Mechanism::Ramp) {
            Self::open(upstream, pool)
        } else {
            pool.bears
        };
        let seats: Vec<&str> = self.view.seats_for(&info.zone).collect();
        let is_own = |slot: &u32| {
            // The start is not part of the key, or two starts would have two owners while one of them knows one only.
            let key = format!("{id}/{slot}");
            rendezvous::owner(&key, seats.iter().copied()) == Some(&*self.own)
        };
        (0..open).filter(is_own).collect()
    }
}
