use std::cmp::Reverse;

use indexmap::IndexMap;

use crate::frame::Heartbeat;
use crate::id::{EntryId, ZoneId};

/// Heartbeats that carry a change, each to be sent in a number of frames.
#[derive(Debug, Default)]
pub(super) struct Updates {
    beats: IndexMap<EntryId, (Heartbeat, u32)>,
}

impl Updates {
    /// Adds an update, replacing an earlier one of the same entry.
    pub(super) fn add(&mut self, beat: Heartbeat, transmissions: u32) {
        self.beats.insert(beat.entry.clone(), (beat, transmissions));
    }

    /// Takes up to `count` updates for a receiver and counts them as sent once more. Updates of the receiver's zone come
    /// first, then those sent least often.
    pub(super) fn take(&mut self, count: usize, zone: Option<&ZoneId>) -> Vec<Heartbeat> {
        if self.beats.len() > count {
            let order =
                |(beat, left): &(Heartbeat, u32)| (zone != Some(&beat.zone), Reverse(*left));
            self.beats
                .sort_by(|_, one, _, other| order(one).cmp(&order(other)));
        }
        let taken: Vec<Heartbeat> = self
            .beats
            .values_mut()
            .take(count)
            .map(|(beat, left)| {
                *left = left.saturating_sub(1);
                beat.clone()
            })
            .collect();
        self.beats.retain(|_, (_, left)| *left > 0);
        taken
    }
}
