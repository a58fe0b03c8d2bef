//! Evacuated zones: the operators have ordered that their upstreams receive no requests.

use std::sync::Arc;

use comfreyroad::clock::Now;
use indexmap::IndexMap;

use super::Controller;
use crate::Event;
use crate::id::ZoneId;
use crate::note::{self, Note};
use crate::outbox::Outbox;
use crate::record::{Content, Topic};

/// Controller of the evacuated zones.
#[derive(Debug, Default)]
pub struct Evacuations {
    zones_by_key: IndexMap<Arc<str>, ZoneId>,
}

impl Evacuations {
    /// Whether a zone is evacuated.
    pub fn is_evacuated(&self, zone: &str) -> bool {
        self.zones_by_key
            .values()
            .any(|evacuated| **evacuated == *zone)
    }
}

impl Controller for Evacuations {
    fn handle(&mut self, _: Now, event: &Event, out: &mut Outbox) {
        let Event::RecordLearned(Topic::Operator, record) = event else {
            return;
        };
        match &record.content {
            Content::Evacuation(zone) => {
                let previous = self.zones_by_key.insert(record.key.clone(), zone.clone());
                let note = Note::new(&note::ZONE_EVACUATED).with("zone", zone);
                previous.is_none().then(|| out.note(note));
            }
            Content::Removed => {
                if let Some(zone) = self.zones_by_key.swap_remove(&record.key) {
                    out.note(Note::new(&note::ZONE_RESTORED).with("zone", zone));
                }
            }
            _ => {}
        }
    }
}
