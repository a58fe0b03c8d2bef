use std::time::{Duration, Instant};

use indexmap::IndexMap;

use crate::frame::{Heartbeat, View};
use crate::id::{Address, EntryId, ZoneId};
use crate::rendezvous;

/// Time for which a failed peer is not asked to store bills.
const FAILED_PEER_PAUSE: Duration = Duration::from_secs(2);

/// Chooses the peer that stores replicas of this entry's bills, among the peers in other zones.
#[derive(Debug)]
pub(super) struct Peers {
    entry: EntryId,
    zone: ZoneId,
    candidates: IndexMap<EntryId, Address>,
    avoided: IndexMap<Address, Instant>,
    chosen: Option<Address>,
}

impl Peers {
    pub(super) fn new(entry: &EntryId, zone: &ZoneId) -> Self {
        Self {
            entry: entry.clone(),
            zone: zone.clone(),
            candidates: IndexMap::new(),
            avoided: IndexMap::new(),
            chosen: None,
        }
    }

    /// Updates the candidates from the live entries.
    pub(super) fn set_members(&mut self, view: &View) {
        let candidates = view.members.values().filter(|beat| beat.zone != self.zone);
        let entry_address = |beat: &Heartbeat| (beat.entry.clone(), beat.address.clone());
        self.candidates = candidates.map(entry_address).collect();
        self.chosen = None;
    }

    /// Excludes a failed peer for a while.
    pub(super) fn avoid(&mut self, peer: &Address, now: Instant) {
        self.avoided.insert(peer.clone(), now + FAILED_PEER_PAUSE);
        self.chosen = None;
    }

    /// Returns one peer for all bills, so that few frames are needed.
    pub(super) fn choose(&mut self, now: Instant) -> Option<Address> {
        let count = self.avoided.len();
        self.avoided.retain(|_, until| *until > now);
        if self.chosen.is_none() || self.avoided.len() < count {
            let candidates = self
                .candidates
                .iter()
                .filter(|(_, address)| !self.avoided.contains_key(*address));
            let name = rendezvous::owner(&self.entry, candidates.map(|(entry, _)| &**entry));
            self.chosen = name.and_then(|name| self.candidates.get(name)).cloned();
        }
        self.chosen.clone()
    }
}
