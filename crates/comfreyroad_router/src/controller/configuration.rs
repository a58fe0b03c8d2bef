//! The configuration in force: the newest that this start of the process has seen, never an older one.

use std::sync::Arc;

use comfreyroad::clock::Now;

use super::Controller;
use crate::Event;
use crate::configuration::Configuration;
use crate::note::{self, Note};
use crate::outbox::Outbox;
use crate::record::Content;

/// Keeps the configuration in force.
#[derive(Debug, Default)]
pub struct Tracker {
    active: Option<Arc<Configuration>>,
}

impl Tracker {
    /// The configuration in force; none before the first.
    pub fn active(&self) -> Option<&Arc<Configuration>> {
        self.active.as_ref()
    }

    fn take(&mut self, configuration: &Arc<Configuration>, out: &mut Outbox) {
        let newest = self.active.as_ref().map(|known| known.generation);
        if newest.is_some_and(|newest| newest >= configuration.generation) {
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
            self.take(configuration, out);
        }
    }
}
