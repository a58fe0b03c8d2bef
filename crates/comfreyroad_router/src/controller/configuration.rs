//! The active configuration: the one with the highest generation that this process has received since its start.

use std::sync::Arc;

use comfreyroad::clock::Now;

use super::Controller;
use crate::Event;
use crate::configuration::Configuration;
use crate::note::{self, Note};
use crate::outbox::Outbox;
use crate::record::Content;

/// Controller of the active configuration.
#[derive(Debug, Default)]
pub struct Tracker {
    active: Option<Arc<Configuration>>,
}

impl Tracker {
    /// The active configuration; `None` before the first one arrives.
    pub fn active(&self) -> Option<&Arc<Configuration>> {
        self.active.as_ref()
    }

    /// Activates a configuration unless its generation is not newer than that of the active one.
    fn activate(&mut self, configuration: &Arc<Configuration>, out: &mut Outbox) {
        let active = self.active.as_ref().map(|active| active.generation);
        if active.is_some_and(|active| active >= configuration.generation) {
            return;
        }
        let note = Note::new(&note::CONFIGURATION_APPLIED)
            .with("generation", configuration.generation)
            .with("routes", configuration.routes.len());
        out.note(note);
        self.active = Some(Arc::clone(configuration));
        out.raise(Event::ConfigurationApplied(Arc::clone(configuration)));
    }
}

impl Controller for Tracker {
    fn handle(&mut self, _: Now, event: &Event, out: &mut Outbox) {
        if let Event::RecordLearned(_, record) = event
            && let Content::Configuration(configuration) = &record.content
        {
            self.activate(configuration, out);
        }
    }
}
