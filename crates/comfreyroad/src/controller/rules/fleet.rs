use std::rc::Rc;

use indexmap::IndexMap;

use crate::frame::View;
use crate::id::{EntryId, ZoneId};
use crate::upstream::{Vm, VmKind, VmState};

/// Up to one in this many entries of a zone may be silent before a partition is suspected.
const SILENT_ONE_IN: usize = 10;

/// The entries that are expected to be live, and which of them are reachable.
///
/// An entry that becomes silent may be dead, or on the other side of a partition where it may reach the log. It stays
/// expected until the VM list drops it or, without a VM list, until it has announced that it accepts no more work. An
/// entry that is added to the list later becomes expected once it is reachable, since it may still be starting.
#[derive(Debug, Default)]
pub(super) struct Fleet {
    is_listed: bool,
    expected: IndexMap<EntryId, Member>,
    view: Rc<View>,
    zones: IndexMap<ZoneId, Count>,
}

/// An entry that is expected to be live.
#[derive(Debug)]
struct Member {
    zone: ZoneId,
    serving: bool,
}

/// Number of entries in a zone.
#[derive(Clone, Copy, Debug, Default)]
struct Count {
    expected: usize,
    reachable: usize,
}

impl Fleet {
    pub(super) fn on_members(&mut self, view: &Rc<View>) {
        self.view = Rc::clone(view);
        let is_listed = self.is_listed;
        self.expected.retain(|entry, expected| {
            is_listed || expected.serving || view.members.contains_key(entry)
        });
        self.expect_members();
        self.count_zones();
    }

    pub(super) fn on_vms(&mut self, vms: &[Vm]) {
        let live = vms
            .iter()
            .filter(|vm| vm.kind == VmKind::Entry && vm.state == VmState::Live);
        let expected = |vm: &Vm| Member {
            zone: vm.zone.clone(),
            serving: true,
        };
        let live: IndexMap<EntryId, Member> =
            live.map(|vm| (vm.id.clone(), expected(vm))).collect();
        if std::mem::replace(&mut self.is_listed, true) {
            self.expected.retain(|entry, _| live.contains_key(entry));
        } else {
            self.expected = live;
        }
        self.expect_members();
        self.count_zones();
    }

    /// The live entries.
    pub(super) fn view(&self) -> &View {
        &self.view
    }

    /// Whether no part of the fleet can be working behind a partition: nearly all entries of each zone are reachable, and
    /// all entries of a small zone.
    pub(super) fn is_unpartitioned(&self) -> bool {
        let is_zone_reachable =
            |zone: &Count| (zone.expected - zone.reachable) * SILENT_ONE_IN <= zone.expected;
        self.has_majority() && self.zones.values().all(is_zone_reachable)
    }

    /// Whether most entries are reachable, regardless of their zones.
    pub(super) fn has_majority(&self) -> bool {
        let (expected, reachable) = self.totals();
        reachable > 1 && reachable * 2 > expected
    }

    /// All zones with entries.
    pub(super) fn zones(&self) -> impl Iterator<Item = &ZoneId> {
        self.zones.keys()
    }

    fn totals(&self) -> (usize, usize) {
        let expected = self.zones.values().map(|zone| zone.expected).sum();
        (
            expected,
            self.zones.values().map(|zone| zone.reachable).sum(),
        )
    }

    fn expect_members(&mut self) {
        for (entry, beat) in &self.view.members {
            let expected = Member {
                zone: beat.zone.clone(),
                serving: beat.serving,
            };
            self.expected.insert(entry.clone(), expected);
        }
    }

    fn count_zones(&mut self) {
        self.zones.clear();
        for (entry, expected) in &self.expected {
            let zone = self.zones.entry(expected.zone.clone()).or_default();
            zone.expected += 1;
            zone.reachable += usize::from(self.view.members.contains_key(entry));
        }
    }
}
