//! What a turn of the loop gives rise to.

use std::collections::VecDeque;

use crate::action::Action;
use crate::event::Event;
use crate::note::Note;

/// Actions for the outside and events for other controllers.
#[derive(Debug)]
pub struct Outbox<A = Action, E = Event> {
    actions: Vec<A>,
    raised: VecDeque<E>,
}

impl<A, E> Default for Outbox<A, E> {
    fn default() -> Self {
        Self {
            actions: Vec::new(),
            raised: VecDeque::new(),
        }
    }
}

impl<A: From<Note>, E> Outbox<A, E> {
    /// Adds an action.
    pub fn act(&mut self, action: A) {
        self.actions.push(action);
    }

    /// Adds a log event.
    pub fn note(&mut self, note: Note) {
        self.act(note.into());
    }

    /// Raises an event, handled later in the same turn.
    pub fn raise(&mut self, event: E) {
        self.raised.push_back(event);
    }

    /// The next event raised.
    pub fn next_raised(&mut self) -> Option<E> {
        self.raised.pop_front()
    }

    /// The actions of the turn.
    pub fn into_actions(self) -> Vec<A> {
        self.actions
    }
}
