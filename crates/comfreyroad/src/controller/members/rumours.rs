use std::cmp::Reverse;

use indexmap::IndexMap;

use crate::frame::Beat;
use crate::id::{EntryId, ZoneId};

/// Heartbeats that carry news, each to be told a number of times.
#[derive(Debug, Default)]
pub(super) struct Rumours {
    beats: IndexMap<EntryId, (Beat, u32)>,
}

impl Rumours {
    /// Takes news in; it replaces older news of the same entry.
    pub(super) fn add(&mut self, beat: Beat, times: u32) {
        self.beats.insert(beat.entry.clone(), (beat, times));
    }

    /// News for a receiver, that of its own zone first and then what was told least; this tells it once more.
    pub(super) fn take(&mut self, count: usize, zone: Option<&ZoneId>) -> Vec<Beat> {
        if self.beats.len() > count {
            let order = |(beat, left): &(Beat, u32)| (zone != Some(&beat.zone), Reverse(*left));
            self.beats
                .sort_by(|_, one, _, other| order(one).cmp(&order(other)));
        }
        let told: Vec<Beat> = self
            .beats
            .values_mut()
            .take(count)
            .map(|(beat, left)| {
                *left = left.saturating_sub(1);
                beat.clone()
            })
            .collect();
        self.beats.retain(|_, (_, left)| *left > 0);
        told
    }
}
