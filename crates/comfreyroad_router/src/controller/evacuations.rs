//! Zones whose upstreams get nothing, by the operators' order.

use std::sync::Arc;

use comfreyroad::clock::Now;
use indexmap::IndexMap;

use super::Controller;
use crate::Event;
use crate::id::ZoneId;
use crate::note::{self, Note};
use crate::outbox::Outbox;
use crate::record::{Content, Topic};

/// Keeps the zones that are evacuated.
#[derive(Debug, Default)]
pub struct Evacuations {
    zones: IndexMap<Arc<str>, ZoneId>,
}

impl Evacuations {
    /// Whether a zone's upstreams get nothing.
    pub fn is_evacuated(&self, zone: &str) -> bool {
        self.zones.values().any(|out| **out == *zone)
    }
}

impl Controller for Evacuations {
    fn handle(&mut self, _: Now, event: &Event, out: &mut Outbox) {
        let Event::RecordLearned(Topic::Operator, record) = event else {
            return;
        };
        match &record.content {
            Content::Evacuation(zone) => {
                let known = self.zones.insert(record.key.clone(), zone.clone());
                let note = Note::new(&note::ZONE_EVACUATED).with("zone", zone);
                known.is_none().then(|| out.note(note));
            }
            Content::Removed => {
                if let Some(zone) = self.zones.swap_remove(&record.key) {
                    out.note(Note::new(&note::ZONE_RESTORED).with("zone", zone));
                }
            }
            _ => {}
        }
    }
}
