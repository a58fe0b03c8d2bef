use std::cmp::Reverse;

use comfreyroad::rendezvous;
use indexmap::IndexMap;

use crate::frame::Peer;

/// Entries of a zone for each of its relays: one relay then answers some 32 exchanges a second.
const ENTRIES_PER_RELAY: usize = 16;
/// Relays of a zone at least, so that the end of one cuts nobody off.
const LEAST_RELAYS: usize = 2;

/// The live entries, this one among them.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    /// The live entries.
    pub entries: Vec<Peer>,
    /// Entries that may be serving, those that are not heard among them.
    pub possibly_serving: usize,
    relays: Vec<Peer>,
}

impl Fleet {
    pub(super) fn new(entries: Vec<Peer>, possibly_serving: usize) -> Self {
        let possibly_serving = possibly_serving.max(entries.len());
        Self {
            relays: relays(&entries),
            entries,
            possibly_serving,
        }
    }

    /// Whether decisions by either are the same.
    pub(super) fn has_same_members(&self, other: &Self) -> bool {
        let names = |fleet: &Self| {
            let mut names: Vec<_> = fleet.entries.iter().map(|it| it.entry.clone()).collect();
            names.sort();
            names
        };
        self.possibly_serving == other.possibly_serving && names(self) == names(other)
    }

    /// The entries that read the store's topics and tell the others of their zone what they say. A zone of few entries has
    /// no others.
    pub fn relays(&self) -> impl Iterator<Item = &Peer> {
        self.relays.iter()
    }

    /// Whether an entry is a relay.
    pub fn is_relay(&self, entry: &str) -> bool {
        self.relays.iter().any(|relay| *relay.entry == *entry)
    }

    /// How many live entries stand before one of them for a key; all entries agree on the order.
    pub fn rank(&self, key: &str, entry: &str) -> usize {
        let entries = self.entries.iter().map(|peer| &*peer.entry);
        rendezvous::rank(key, entry, entries)
    }

    /// The same, with the relays before all others.
    pub fn rank_relays_first(&self, key: &str, entry: &str) -> usize {
        if self.is_relay(entry) {
            let relays = self.relays.iter().map(|peer| &*peer.entry);
            rendezvous::rank(key, entry, relays)
        } else {
            self.relays.len() + self.rank(key, entry)
        }
    }

    /// Part of the entries that may be serving which are live.
    pub fn live_fraction(&self) -> f64 {
        self.entries.len() as f64 / self.possibly_serving.max(1) as f64
    }
}

/// The relays of all zones: the VMs with most of a processor, and among equal ones by rendezvous hash.
fn relays(entries: &[Peer]) -> Vec<Peer> {
    let mut zones: IndexMap<&str, Vec<&Peer>> = IndexMap::new();
    for peer in entries {
        zones.entry(&peer.zone).or_default().push(peer);
    }
    let mut relays = Vec::new();
    for (zone, mut peers) in zones {
        let count = peers.len().div_ceil(ENTRIES_PER_RELAY).max(LEAST_RELAYS);
        let place = |peer: &&Peer| (peer.millicores, rendezvous::hash(zone, &peer.entry));
        peers.sort_by_key(|peer| Reverse(place(peer)));
        relays.extend(peers.into_iter().take(count).cloned());
    }
    relays
}
