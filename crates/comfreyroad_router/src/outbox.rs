//! What a turn of the loop gives rise to.

use std::collections::VecDeque;

use comfreyroad::note::Note;

use crate::{Action, Event};

/// Actions for the outside and events for other controllers.
#[derive(Debug, Default)]
pub struct Outbox {
    actions: Vec<Action>,
    raised: VecDeque<Event>,
}

impl Outbox {
    /// Adds an action.
    pub fn act(&mut self, action: Action) {
        self.actions.push(action);
    }

    /// Adds a log event.
    pub fn note(&mut self, note: Note) {
        self.act(Action::Note(note));
    }

    /// Raises an event, handled later in the same turn.
    pub fn raise(&mut self, event: Event) {
        self.raised.push_back(event);
    }

    /// The next event raised.
    pub fn next_raised(&mut self) -> Option<Event> {
        self.raised.pop_front()
    }

    /// The actions of the turn.
    pub fn into_actions(self) -> Vec<Action> {
        self.actions
    }
}
