//! The output of one iteration of the event loop.

use std::collections::VecDeque;

use crate::action::Action;
use crate::event::Event;
use crate::note::Note;

/// Actions for the front end and events for other controllers.
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

    /// Raises an event, which is handled later in the same iteration.
    pub fn raise(&mut self, event: E) {
        self.raised.push_back(event);
    }

    /// Removes and returns the oldest raised event.
    pub fn next_raised(&mut self) -> Option<E> {
        self.raised.pop_front()
    }

    /// The actions of the iteration.
    pub fn into_actions(self) -> Vec<A> {
        self.actions
    }
}
