use std::time::Instant;

use indexmap::IndexMap;

use crate::frame::{Frame, View};
use crate::id::{Address, BootId, EntryId};
use crate::record::{Bill, Key};

/// Replicas of other entries' bills, stored until the bills are on the log.
#[derive(Debug, Default)]
pub(super) struct Replicas {
    origins: IndexMap<EntryId, Origin>,
    acks: IndexMap<Address, Vec<Key>>,
}

/// One start of an entry and the replicas stored for it.
#[derive(Debug)]
struct Origin {
    boot: BootId,
    replicas: IndexMap<Key, Replica>,
}

/// A stored bill.
#[derive(Debug)]
struct Replica {
    bill: Bill,
    /// When the bill is appended to the log although its origin is still live.
    append_at: Instant,
}

impl Replicas {
    /// Handles the bills in a peer's frame. Returns the bills of an earlier start of that peer, which has lost them.
    pub(super) fn on_frame(&mut self, frame: &Frame, append_at: Instant) -> Vec<Bill> {
        let has_restarted = self
            .origins
            .get(&frame.from)
            .is_some_and(|origin| origin.boot != frame.boot);
        let orphans = if has_restarted {
            self.remove_origin(&frame.from)
        } else {
            Vec::new()
        };
        if !frame.bills_to_store.is_empty() {
            self.store(frame, append_at);
        }
        if let Some(origin) = self.origins.get_mut(&frame.from) {
            for key in &frame.released_bills {
                origin.replicas.swap_remove(key);
            }
        }
        orphans
    }

    fn store(&mut self, frame: &Frame, append_at: Instant) {
        let origin = self
            .origins
            .entry(frame.from.clone())
            .or_insert_with(|| Origin {
                boot: frame.boot.clone(),
                replicas: IndexMap::new(),
            });
        let acks = self.acks.entry(frame.address.clone()).or_default();
        for bill in &frame.bills_to_store {
            acks.push(bill.key.clone());
            let replica = Replica {
                bill: bill.clone(),
                append_at,
            };
            origin.replicas.insert(bill.key.clone(), replica);
        }
    }

    /// Takes the keys of stored bills that are not yet acknowledged to a peer.
    pub(super) fn take_acks(&mut self, to: &Address) -> Vec<Key> {
        self.acks.swap_remove(to).unwrap_or_default()
    }

    /// Drops the replicas that a bill on the log makes unnecessary.
    pub(super) fn on_bill_logged(&mut self, bill: &Bill) {
        for origin in self.origins.values_mut() {
            let is_covered = |replica: &Replica| replica.bill.cost <= bill.cost;
            if origin.replicas.get(&bill.key).is_some_and(is_covered) {
                origin.replicas.swap_remove(&bill.key);
            }
        }
    }

    /// Takes the bills of entries that are gone or have restarted.
    pub(super) fn take_orphans(&mut self, view: &View) -> Vec<Bill> {
        let gone_origin = |(entry, origin): (&EntryId, &Origin)| {
            let beat = view.members.get(entry);
            let is_live = beat.is_some_and(|beat| beat.boot == origin.boot);
            (!is_live).then(|| entry.clone())
        };
        let gone: Vec<EntryId> = self.origins.iter().filter_map(gone_origin).collect();
        gone.iter()
            .flat_map(|entry| self.remove_origin(entry))
            .collect()
    }

    /// Takes the bills that have been stored for too long.
    pub(super) fn take_overdue(&mut self, now: Instant) -> Vec<Bill> {
        let mut overdue = Vec::new();
        for origin in self.origins.values_mut() {
            origin.replicas.retain(|_, replica| {
                let is_due = replica.append_at <= now;
                if is_due {
                    overdue.push(replica.bill.clone());
                }
                !is_due
            });
        }
        self.origins.retain(|_, origin| !origin.replicas.is_empty());
        overdue
    }

    /// Number of replicas.
    pub(super) fn len(&self) -> usize {
        let count = |origin: &Origin| origin.replicas.len();
        self.origins.values().map(count).sum()
    }

    fn remove_origin(&mut self, entry: &EntryId) -> Vec<Bill> {
        let origin = self.origins.swap_remove(entry);
        let replicas = origin.into_iter().flat_map(|origin| origin.replicas);
        replicas.map(|(_, replica)| replica.bill).collect()
    }
}
