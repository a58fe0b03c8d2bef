use comfreyroad::rendezvous;

use crate::frame::Peer;

/// The live entries, this one among them.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    /// The live entries.
    pub entries: Vec<Peer>,
    /// Entries that may be serving, those that are not heard among them.
    pub possible: usize,
}

impl Fleet {
    pub(super) fn new(entries: Vec<Peer>, possible: usize) -> Self {
        let possible = possible.max(entries.len());
        Self { entries, possible }
    }

    /// Whether decisions by either are the same.
    pub(super) fn is_like(&self, other: &Self) -> bool {
        let names = |fleet: &Self| {
            let mut names: Vec<_> = fleet.entries.iter().map(|it| it.entry.clone()).collect();
            names.sort();
            names
        };
        self.possible == other.possible && names(self) == names(other)
    }

    /// How many live entries stand before one of them for a key; all entries agree on the order.
    pub fn rank(&self, key: &str, entry: &str) -> usize {
        let entries = self.entries.iter().map(|peer| &*peer.entry);
        rendezvous::rank(key, entry, entries)
    }

    /// Part of the entries that may be serving which are live.
    pub fn live_share(&self) -> f64 {
        self.entries.len() as f64 / self.possible.max(1) as f64
    }
}
