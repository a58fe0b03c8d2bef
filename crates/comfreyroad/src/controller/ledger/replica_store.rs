use std::time::Instant;

use indexmap::IndexMap;

use crate::frame::{Frame, View};
use crate::id::{Address, BootId, EntryId};
use crate::record::{Bill, Key};

/// Bills kept for other entries until they are on the log.
#[derive(Debug, Default)]
pub(super) struct ReplicaStore {
    origins: IndexMap<EntryId, Origin>,
    acks: IndexMap<Address, Vec<Key>>,
}

/// One start of an entry, and what is kept for it.
#[derive(Debug)]
struct Origin {
    boot: BootId,
    bills: IndexMap<Key, Kept>,
}

/// A bill that is kept.
#[derive(Debug)]
struct Kept {
    bill: Bill,
    /// When it is appended even though its origin still lives.
    append_at: Instant,
}

impl ReplicaStore {
    /// Takes a peer's part of a frame; gives the bills of an earlier start of that peer, which nobody else has now.
    pub(super) fn on_frame(&mut self, frame: &Frame, append_at: Instant) -> Vec<Bill> {
        let has_restarted = self
            .origins
            .get(&frame.from)
            .is_some_and(|origin| origin.boot != frame.boot);
        let orphans = if has_restarted {
            self.take(&frame.from)
        } else {
            Vec::new()
        };
        if !frame.keep.is_empty() {
            self.keep(frame, append_at);
        }
        if let Some(origin) = self.origins.get_mut(&frame.from) {
            for key in &frame.done {
                origin.bills.swap_remove(key);
            }
        }
        orphans
    }

    fn keep(&mut self, frame: &Frame, append_at: Instant) {
        let origin = self
            .origins
            .entry(frame.from.clone())
            .or_insert_with(|| Origin {
                boot: frame.boot.clone(),
                bills: IndexMap::new(),
            });
        let acks = self.acks.entry(frame.address.clone()).or_default();
        for bill in &frame.keep {
            acks.push(bill.key.clone());
            let kept = Kept {
                bill: bill.clone(),
                append_at,
            };
            origin.bills.insert(bill.key.clone(), kept);
        }
    }

    /// Keys that a peer is yet to be told of.
    pub(super) fn acks(&mut self, to: &Address) -> Vec<Key> {
        self.acks.swap_remove(to).unwrap_or_default()
    }

    /// A bill is on the log.
    pub(super) fn on_log(&mut self, bill: &Bill) {
        for origin in self.origins.values_mut() {
            let is_covered = |kept: &Kept| kept.bill.cost <= bill.cost;
            if origin.bills.get(&bill.key).is_some_and(is_covered) {
                origin.bills.swap_remove(&bill.key);
            }
        }
    }

    /// Bills of entries that are gone or have restarted.
    pub(super) fn orphans(&mut self, view: &View) -> Vec<Bill> {
        let is_gone = |(entry, origin): (&EntryId, &Origin)| {
            let beat = view.members.get(entry);
            let lives = beat.is_some_and(|beat| beat.boot == origin.boot);
            (!lives).then(|| entry.clone())
        };
        let gone: Vec<EntryId> = self.origins.iter().filter_map(is_gone).collect();
        gone.iter().flat_map(|entry| self.take(entry)).collect()
    }

    /// Bills that have been kept for too long.
    pub(super) fn overdue(&mut self, now: Instant) -> Vec<Bill> {
        let mut overdue = Vec::new();
        for origin in self.origins.values_mut() {
            origin.bills.retain(|_, kept| {
                let is_due = kept.append_at <= now;
                if is_due {
                    overdue.push(kept.bill.clone());
                }
                !is_due
            });
        }
        self.origins.retain(|_, origin| !origin.bills.is_empty());
        overdue
    }

    /// Bills kept.
    pub(super) fn len(&self) -> usize {
        let bills = |origin: &Origin| origin.bills.len();
        self.origins.values().map(bills).sum()
    }

    fn take(&mut self, entry: &EntryId) -> Vec<Bill> {
        let origin = self.origins.swap_remove(entry);
        let bills = origin.into_iter().flat_map(|origin| origin.bills);
        bills.map(|(_, kept)| kept.bill).collect()
    }
}
