use std::cmp::Reverse;

use comfreyroad::rendezvous;
use indexmap::{IndexMap, IndexSet};

use crate::frame::Peer;
use crate::id::EntryId;

/// Number of entries in a zone for each of its relays. A relay then answers about 32 exchanges per second.
const ENTRIES_PER_RELAY: usize = 16;
/// Minimum number of relays in a zone, so that the other entries remain connected when one fails.
const MIN_RELAYS: usize = 2;

/// The live entries, including this one, and the relays among them.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    /// The live entries.
    pub entries: Vec<Peer>,
    /// Number of entries that may be serving requests, including entries that are not live but were until recently.
    pub possibly_serving: usize,
    relays: Vec<Peer>,
    names: IndexSet<EntryId>,
}

impl Fleet {
    pub(super) fn new(entries: Vec<Peer>, possibly_serving: usize) -> Self {
        let possibly_serving = possibly_serving.max(entries.len());
        Self {
            relays: select_relays(&entries),
            names: entries.iter().map(|it| it.entry.clone()).collect(),
            entries,
            possibly_serving,
        }
    }

    /// Whether these are its live entries, each given once, and as many may be serving.
    pub(super) fn consists_of<'a>(
        &self,
        mut entries: impl ExactSizeIterator<Item = &'a Peer>,
        possibly_serving: usize,
    ) -> bool {
        self.names.len() == entries.len()
            && self.possibly_serving == possibly_serving.max(entries.len())
            && entries.all(|it| self.names.contains(&it.entry))
    }

    /// The entries that read the topics of the store and forward the records to the other entries of their zone. In a
    /// small zone all entries are relays.
    pub fn relays(&self) -> impl Iterator<Item = &Peer> {
        self.relays.iter()
    }

    /// Whether an entry is a relay.
    pub fn is_relay(&self, entry: &str) -> bool {
        self.relays.iter().any(|relay| *relay.entry == *entry)
    }

    /// Rank of a live entry by the rendezvous hash of a key, starting at 0. All entries agree on the order.
    pub fn rank(&self, key: &str, entry: &str) -> usize {
        let entries = self.entries.iter().map(|peer| &*peer.entry);
        rendezvous::rank(key, entry, entries)
    }

    /// Rank of a live entry by the rendezvous hash of a key, with the relays before all others.
    pub fn rank_relays_first(&self, key: &str, entry: &str) -> usize {
        if self.is_relay(entry) {
            let relays = self.relays.iter().map(|peer| &*peer.entry);
            rendezvous::rank(key, entry, relays)
        } else {
            self.relays.len() + self.rank(key, entry)
        }
    }

    /// Fraction of the possibly serving entries that are live.
    pub fn live_fraction(&self) -> f64 {
        self.entries.len() as f64 / self.possibly_serving.max(1) as f64
    }
}

/// Selects the relays of all zones: the entries on the VMs with the most CPU, and among equal ones by rendezvous hash.
fn select_relays(entries: &[Peer]) -> Vec<Peer> {
    let mut zones: IndexMap<&str, Vec<&Peer>> = IndexMap::new();
    for peer in entries {
        zones.entry(&peer.zone).or_default().push(peer);
    }
    let mut relays = Vec::new();
    for (zone, mut peers) in zones {
        let count = peers.len().div_ceil(ENTRIES_PER_RELAY).max(MIN_RELAYS);
        let priority = |peer: &&Peer| (peer.millicores, rendezvous::hash(zone, &peer.entry));
        peers.sort_by_key(|peer| Reverse(priority(peer)));
        relays.extend(peers.into_iter().take(count).cloned());
    }
    relays
}
