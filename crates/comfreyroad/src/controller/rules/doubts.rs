use std::time::{Duration, Instant};

use indexmap::IndexMap;

use crate::frame::Doubt;
use crate::id::ZoneId;

/// The last word of each zone whose entries do not hear of the log.
///
/// A word tells that nobody whom its speaker hears can confirm the rules. It is passed on with its age, and counts for a
/// short time only: a zone that can be heard no more may have the log.
#[derive(Debug)]
pub(super) struct Doubts {
    words: IndexMap<ZoneId, Instant>,
    lasts: Duration,
}

impl Doubts {
    pub(super) fn new(stale_after: Duration) -> Self {
        Self {
            words: IndexMap::new(),
            lasts: stale_after / 2,
        }
    }

    /// Takes in that entries of a zone did not hear of the log at a moment.
    pub(super) fn hear(&mut self, zone: &ZoneId, at: Instant) {
        let Some(known) = self.words.get_mut(zone) else {
            self.words.insert(zone.clone(), at);
            return;
        };
        *known = at.max(*known);
    }

    /// Whether a zone has said so a short time ago.
    pub(super) fn has(&self, zone: &ZoneId, now: Instant) -> bool {
        self.words
            .get(zone)
            .is_some_and(|at| *at + self.lasts >= now)
    }

    /// The words that still count, to be passed on.
    pub(super) fn words(&mut self, now: Instant) -> Vec<Doubt> {
        let lasts = self.lasts;
        self.words.retain(|_, at| *at + lasts >= now);
        let word = |(zone, at): (&ZoneId, &Instant)| Doubt {
            zone: zone.clone(),
            age: now.saturating_duration_since(*at),
        };
        self.words.iter().map(word).collect()
    }
}
