use std::cmp::Reverse;
use std::rc::Rc;

use indexmap::{IndexMap, IndexSet};

use super::Upstreams;
use crate::clock::Now;
use crate::id::{PoolId, UpstreamId, ZoneId};
use crate::note::{self, Note};
use crate::outbox::Outbox;
use crate::rendezvous;
use crate::upstream::{Any, Upstream, Vm, VmKind, VmState};

/// Pool size up to which an entry sends to all upstreams of the pool.
const SMALL_POOL: usize = 32;
/// Upstreams of a larger pool that an entry sends to in its own zone.
const OWN_ZONE_TARGETS: usize = 8;
/// Upstreams of a larger pool that an entry sends to in each other zone.
const OTHER_ZONE_TARGETS: usize = 2;

impl Upstreams {
    pub(super) fn on_vms(&mut self, now: Now, vms: &[Vm], out: &mut Outbox) {
        let listed = || vms.iter().filter(|vm| vm.kind == VmKind::Upstream);
        let mut has_changed = false;
        for vm in listed() {
            if self.add(vm, out) {
                has_changed = true;
                self.assign_slots(now, &vm.id);
            }
            if vm.state == VmState::Leaving {
                self.change(now, &vm.id, Any::leave, out);
            }
        }
        let listed_ids: IndexSet<&UpstreamId> = listed().map(|vm| &vm.id).collect();
        let gone = |id: &&UpstreamId| !listed_ids.contains(*id);
        let gone: Vec<UpstreamId> = self.upstreams.keys().filter(gone).cloned().collect();
        has_changed |= !gone.is_empty();
        for id in gone {
            self.change(now, &id, Any::leave, out);
            if let Some(upstream) = self.upstreams.get_mut(&id) {
                upstream.info_mut().is_listed = false;
            }
        }
        self.remove_departed();
        if has_changed {
            self.choose_targets();
        }
    }

    /// Adds an upstream that is new, has returned, or has changed its address, zone or pool.
    fn add(&mut self, vm: &Vm, out: &mut Outbox) -> bool {
        let is_same = |upstream: &Any| {
            let info = upstream.info();
            info.address == vm.address
                && info.zone == vm.zone
                && info.pool == vm.pool
                && !(upstream.is_leaving() && vm.state == VmState::Live)
        };
        if self.upstreams.get(&vm.id).is_some_and(is_same) {
            return false;
        }
        out.note(
            Note::new(&note::UPSTREAM_JOINED)
                .with("upstream", &vm.id)
                .with("zone", &vm.zone),
        );
        let mut upstream = Upstream::new(vm);
        if let Some(known) = self.upstreams.get(&vm.id) {
            // Requests that are still in flight keep counting.
            upstream.info_mut().in_flight = Rc::clone(&known.info().in_flight);
        }
        self.upstreams.insert(vm.id.clone(), Any::Cold(upstream));
        true
    }

    /// Removes upstreams that are no longer listed and have no requests of this entry in flight.
    pub(super) fn remove_departed(&mut self) {
        self.upstreams.retain(|_, upstream| {
            let info = upstream.info();
            info.is_listed || info.in_flight.get() > 0
        });
    }

    /// Chooses the upstreams that this entry sends to, so that no entry has to track all of them closely.
    fn choose_targets(&mut self) {
        let mut groups: IndexMap<(PoolId, ZoneId), Vec<UpstreamId>> = IndexMap::new();
        let mut sizes: IndexMap<PoolId, usize> = IndexMap::new();
        for info in self.upstreams.values().map(Any::info) {
            *sizes.entry(info.pool.clone()).or_default() += 1;
            let group = (info.pool.clone(), info.zone.clone());
            groups.entry(group).or_default().push(info.id.clone());
        }
        let mut targets: IndexSet<UpstreamId> = IndexSet::new();
        for ((pool, zone), mut group) in groups {
            let count = match sizes.get(&pool) {
                Some(..=SMALL_POOL) => SMALL_POOL,
                _ if zone == self.zone => OWN_ZONE_TARGETS,
                _ => OTHER_ZONE_TARGETS,
            };
            group.sort_by_cached_key(|id| Reverse(rendezvous::hash(&self.entry, id)));
            targets.extend(group.into_iter().take(count));
        }
        for (id, upstream) in &mut self.upstreams {
            upstream.info_mut().is_preferred = targets.contains(id);
        }
    }
}
