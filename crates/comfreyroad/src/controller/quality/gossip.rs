use indexmap::IndexMap;

use crate::frame::{Frame, View};
use crate::id::Address;
use crate::quality::{Count, Origin, Subject, Tally};

/// Maximum number of changed cells in one frame.
const MAX_CHANGES: usize = 8;
/// Other cells in a frame for a peer whose counts differ.
const REPAIR_CELLS: usize = 4;

/// Gossip of counts: each change is sent a few times, and peers whose counts still differ get all other cells in turn.
#[derive(Debug, Default)]
pub(super) struct Gossip {
    changes: IndexMap<(Subject, Origin), u32>,
    peer_hashes: IndexMap<Address, u64>,
    repair_cursor: usize,
    transmissions: u32,
}

impl Gossip {
    pub(super) fn on_members(&mut self, view: &View) {
        let members = view.members.len().max(1);
        self.transmissions = members.ilog2() + 2;
        let addresses: Vec<&Address> = view.members.values().map(|beat| &beat.address).collect();
        self.peer_hashes.retain(|peer, _| addresses.contains(&peer));
    }

    /// Queues a changed cell.
    pub(super) fn push(&mut self, subject: &Subject, origin: &Origin) {
        let key = (subject.clone(), origin.clone());
        self.changes.insert(key, self.transmissions.max(2));
    }

    /// Records the hash of a peer's counts.
    pub(super) fn on_frame(&mut self, frame: &Frame) {
        self.peer_hashes
            .insert(frame.address.clone(), frame.counts_hash);
    }

    pub(super) fn fill(&mut self, to: &Address, tally: &Tally, frame: &mut Frame) {
        frame.counts_hash = tally.hash();
        if self.peer_hashes.get(to) == Some(&tally.hash()) {
            return;
        }
        let count = self.changes.len().min(MAX_CHANGES);
        let changes: Vec<_> = self.changes.drain(..count).collect();
        for ((subject, origin), left) in changes {
            let Some(cell) = tally.cell(&subject, &origin) else {
                continue;
            };
            frame.counts.push(Count {
                origin: origin.clone(),
                subject: subject.clone(),
                cell,
            });
            if left > 1 {
                self.changes.insert((subject, origin), left - 1);
            }
        }
        frame
            .counts
            .extend(tally.slice(self.repair_cursor, REPAIR_CELLS));
        self.repair_cursor = (self.repair_cursor + REPAIR_CELLS) % tally.len().max(1);
    }
}
