use std::time::{Duration, Instant};

use indexmap::IndexMap;

use crate::frame::{Beat, View};
use crate::id::{Address, EntryId, ZoneId};
use crate::rendezvous;

/// Time for which a peer that failed is not asked to keep bills.
const AVOID: Duration = Duration::from_secs(2);

/// The peers in other zones, of which one keeps this entry's bills.
#[derive(Debug)]
pub(super) struct ReplicaPeers {
    entry: EntryId,
    zone: ZoneId,
    fit: IndexMap<EntryId, Address>,
    avoided: IndexMap<Address, Instant>,
    chosen: Option<Address>,
}

impl ReplicaPeers {
    pub(super) fn new(entry: &EntryId, zone: &ZoneId) -> Self {
        Self {
            entry: entry.clone(),
            zone: zone.clone(),
            fit: IndexMap::new(),
            avoided: IndexMap::new(),
            chosen: None,
        }
    }

    /// Takes the set of live entries.
    pub(super) fn set(&mut self, view: &View) {
        let fit = view.members.values().filter(|beat| beat.zone != self.zone);
        let named = |beat: &Beat| (beat.entry.clone(), beat.address.clone());
        self.fit = fit.map(named).collect();
        self.chosen = None;
    }

    /// A peer has failed.
    pub(super) fn avoid(&mut self, peer: &Address, now: Instant) {
        self.avoided.insert(peer.clone(), now + AVOID);
        self.chosen = None;
    }

    /// The same peer for all bills, so that they go in few frames.
    pub(super) fn choose(&mut self, now: Instant) -> Option<Address> {
        let count = self.avoided.len();
        self.avoided.retain(|_, until| *until > now);
        if self.chosen.is_none() || self.avoided.len() < count {
            let fit = self
                .fit
                .iter()
                .filter(|(_, address)| !self.avoided.contains_key(*address));
            let name = rendezvous::owner(&self.entry, fit.map(|(entry, _)| &**entry));
            self.chosen = name.and_then(|name| self.fit.get(name)).cloned();
        }
        self.chosen.clone()
    }
}
