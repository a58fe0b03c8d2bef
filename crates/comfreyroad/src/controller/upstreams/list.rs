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

/// Upstreams of a pool up to which an entry sends to all of them.
const SMALL: usize = 32;
/// Upstreams of a larger pool in the own zone that an entry sends to.
const NEAR: usize = 8;
/// Upstreams of a larger pool in each other zone.
const FAR: usize = 2;

impl Upstreams {
    pub(super) fn on_vms(&mut self, now: Now, vms: &[Vm], out: &mut Outbox) {
        let listed = || vms.iter().filter(|vm| vm.kind == VmKind::Upstream);
        let mut has_changed = false;
        for vm in listed() {
            if self.join(vm, out) {
                has_changed = true;
                self.divide(now, &vm.id);
            }
            if vm.state == VmState::Leaving {
                self.change(now, &vm.id, Any::leave, out);
            }
        }
        let names: IndexSet<&UpstreamId> = listed().map(|vm| &vm.id).collect();
        let gone = |id: &&UpstreamId| !names.contains(*id);
        let gone: Vec<UpstreamId> = self.known.keys().filter(gone).cloned().collect();
        has_changed |= !gone.is_empty();
        for id in gone {
            self.change(now, &id, Any::leave, out);
            if let Some(upstream) = self.known.get_mut(&id) {
                upstream.info_mut().is_listed = false;
            }
        }
        self.forget_left();
        if has_changed {
            self.choose_near();
        }
    }

    /// Takes in an upstream that is new, or that has come back after it had left or moved.
    fn join(&mut self, vm: &Vm, out: &mut Outbox) -> bool {
        let is_same = |upstream: &Any| {
            let info = upstream.info();
            info.address == vm.address
                && info.zone == vm.zone
                && info.pool == vm.pool
                && !(upstream.is_leaving() && vm.state == VmState::Live)
        };
        if self.known.get(&vm.id).is_some_and(is_same) {
            return false;
        }
        out.note(
            Note::new(&note::UPSTREAM_JOINED)
                .with("upstream", &vm.id)
                .with("zone", &vm.zone),
        );
        let mut upstream = Upstream::new(vm);
        if let Some(known) = self.known.get(&vm.id) {
            // What this entry still has there goes on counting.
            upstream.info_mut().in_flight = Rc::clone(&known.info().in_flight);
        }
        self.known.insert(vm.id.clone(), Any::Cold(upstream));
        true
    }

    /// Drops upstreams that are no longer listed and have nothing of this entry's any more.
    pub(super) fn forget_left(&mut self) {
        self.known.retain(|_, upstream| {
            let info = upstream.info();
            info.is_listed || info.in_flight.get() > 0
        });
    }

    /// Chooses the upstreams that this entry sends to, so that none has to know all of them well.
    fn choose_near(&mut self) {
        let mut groups: IndexMap<(PoolId, ZoneId), Vec<UpstreamId>> = IndexMap::new();
        let mut sizes: IndexMap<PoolId, usize> = IndexMap::new();
        for info in self.known.values().map(Any::info) {
            *sizes.entry(info.pool.clone()).or_default() += 1;
            let group = (info.pool.clone(), info.zone.clone());
            groups.entry(group).or_default().push(info.id.clone());
        }
        let mut near: IndexSet<UpstreamId> = IndexSet::new();
        for ((pool, zone), mut group) in groups {
            let count = match sizes.get(&pool) {
                Some(..=SMALL) => SMALL,
                _ if zone == self.zone => NEAR,
                _ => FAR,
            };
            group.sort_by_cached_key(|id| Reverse(rendezvous::weight(&self.own, id)));
            near.extend(group.into_iter().take(count));
        }
        for (id, upstream) in &mut self.known {
            upstream.info_mut().is_near = near.contains(id);
        }
    }
}
