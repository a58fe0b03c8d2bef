use indexmap::IndexMap;

use crate::frame::{Frame, View};
use crate::id::Address;
use crate::quality::{Count, Origin, Subject, Tally};

/// Cells of the newest changes in one frame at most.
const HOT: usize = 8;
/// Other cells in a frame for a peer that does not know the same.
const REPAIR: usize = 4;

/// What is told to peers: each change a few times, and for peers that still lack something the rest piece by piece.
#[derive(Debug, Default)]
pub(super) struct Spread {
    hot: IndexMap<(Subject, Origin), u32>,
    peers: IndexMap<Address, u64>,
    cursor: usize,
    times: u32,
}

impl Spread {
    pub(super) fn on_members(&mut self, view: &View) {
        let members = view.members.len().max(1);
        self.times = members.ilog2() + 2;
        let addresses: Vec<&Address> = view.members.values().map(|beat| &beat.address).collect();
        self.peers.retain(|peer, _| addresses.contains(&peer));
    }

    /// A cell has changed.
    pub(super) fn tell(&mut self, subject: &Subject, origin: &Origin) {
        let place = (subject.clone(), origin.clone());
        self.hot.insert(place, self.times.max(2));
    }

    /// What a peer knows.
    pub(super) fn hear(&mut self, frame: &Frame) {
        self.peers.insert(frame.address.clone(), frame.counts_hash);
    }

    pub(super) fn fill(&mut self, to: &Address, tally: &Tally, frame: &mut Frame) {
        frame.counts_hash = tally.hash();
        if self.peers.get(to) == Some(&tally.hash()) {
            return;
        }
        let count = self.hot.len().min(HOT);
        let hot: Vec<_> = self.hot.drain(..count).collect();
        for ((subject, origin), left) in hot {
            let Some(cell) = tally.cell(&subject, &origin) else {
                continue;
            };
            frame.counts.push(Count {
                origin: origin.clone(),
                subject: subject.clone(),
                cell,
            });
            if left > 1 {
                self.hot.insert((subject, origin), left - 1);
            }
        }
        frame.counts.extend(tally.slice(self.cursor, REPAIR));
        self.cursor = (self.cursor + REPAIR) % tally.len().max(1);
    }
}
