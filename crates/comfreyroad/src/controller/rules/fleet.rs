use std::rc::Rc;

use indexmap::IndexMap;

use crate::frame::View;
use crate::id::{EntryId, ZoneId};
use crate::upstream::{Vm, VmKind, VmState};

/// One in so many entries of a zone may be silent without being counted as apart.
const SILENT: usize = 10;

/// The entries that there should be, against those that are heard.
///
/// An entry that falls silent may be dead or on the other side of a partition, where it may have the log. It is counted
/// until the VM list drops it; without a VM list, until it has said that it takes no more work. One that the list names
/// later counts once it is heard, since it may still be starting.
#[derive(Debug, Default)]
pub(super) struct Fleet {
    is_listed: bool,
    known: IndexMap<EntryId, Known>,
    view: Rc<View>,
    zones: IndexMap<ZoneId, Count>,
}

/// An entry that there should be.
#[derive(Debug)]
struct Known {
    zone: ZoneId,
    serving: bool,
}

/// The entries of a zone.
#[derive(Clone, Copy, Debug, Default)]
struct Count {
    known: usize,
    heard: usize,
}

impl Fleet {
    pub(super) fn on_members(&mut self, view: &Rc<View>) {
        self.view = Rc::clone(view);
        let is_listed = self.is_listed;
        self.known
            .retain(|entry, known| is_listed || known.serving || view.members.contains_key(entry));
        self.learn_view();
        self.count();
    }

    pub(super) fn on_vms(&mut self, vms: &[Vm]) {
        let live = vms
            .iter()
            .filter(|vm| vm.kind == VmKind::Entry && vm.state == VmState::Live);
        let known = |vm: &Vm| Known {
            zone: vm.zone.clone(),
            serving: true,
        };
        let live: IndexMap<EntryId, Known> = live.map(|vm| (vm.id.clone(), known(vm))).collect();
        if std::mem::replace(&mut self.is_listed, true) {
            self.known.retain(|entry, _| live.contains_key(entry));
        } else {
            self.known = live;
        }
        self.learn_view();
        self.count();
    }

    /// The entries that are heard.
    pub(super) fn view(&self) -> &View {
        &self.view
    }

    /// Whether no part of the fleet can be apart and at work: nearly all entries of each zone are heard, and of a small
    /// zone all.
    pub(super) fn is_whole(&self) -> bool {
        let is_whole = |zone: &Count| (zone.known - zone.heard) * SILENT <= zone.known;
        self.is_mostly_heard() && self.zones.values().all(is_whole)
    }

    /// Whether most entries are heard, wherever they are.
    pub(super) fn is_mostly_heard(&self) -> bool {
        let (known, heard) = self.sums();
        heard > 1 && heard * 2 > known
    }

    /// All zones with entries.
    pub(super) fn zones(&self) -> impl Iterator<Item = &ZoneId> {
        self.zones.keys()
    }

    fn sums(&self) -> (usize, usize) {
        let known = self.zones.values().map(|zone| zone.known).sum();
        (known, self.zones.values().map(|zone| zone.heard).sum())
    }

    fn learn_view(&mut self) {
        for (entry, beat) in &self.view.members {
            let known = Known {
                zone: beat.zone.clone(),
                serving: beat.serving,
            };
            self.known.insert(entry.clone(), known);
        }
    }

    fn count(&mut self) {
        self.zones.clear();
        for (entry, known) in &self.known {
            let zone = self.zones.entry(known.zone.clone()).or_default();
            zone.known += 1;
            zone.heard += usize::from(self.view.members.contains_key(entry));
        }
    }
}
