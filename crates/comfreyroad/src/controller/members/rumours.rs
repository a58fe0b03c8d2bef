use indexmap::IndexMap;

use crate::frame::Beat;
use crate::id::EntryId;

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

    /// The news that was told least, which is told once more by this.
    pub(super) fn take(&mut self, count: usize) -> Vec<Beat> {
        self.beats.sort_by(|_, one, _, other| other.1.cmp(&one.1));
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
