//! What became of recent calls, to be asked for by request id. It holds names and numbers, no bodies and no keys.

use std::time::{Duration, Instant, SystemTime};

use indexmap::IndexMap;

use super::Controller;
use crate::clock::Now;
use crate::event::Event;
use crate::id::{CallId, Generation, RequestId};
use crate::outbox::Outbox;

/// Calls that are kept.
const CALLS: usize = 2048;
/// Steps of one call that are kept; the last one makes room for newer ones.
const STEPS: usize = 48;

/// Keeps the trails.
#[derive(Debug, Default)]
pub struct Trail {
    calls: IndexMap<CallId, Tale>,
    generation: Generation,
}

/// What became of one call.
#[derive(Clone, Debug)]
pub struct Tale {
    /// The request, as its caller names it.
    pub request: RequestId,
    /// The number of the caller's try.
    pub attempt: u32,
    /// When it came.
    pub received: SystemTime,
    /// What happened, in order.
    pub steps: Vec<Mark>,
    /// Steps that were dropped for want of room.
    pub dropped: usize,
    start: Instant,
}

/// A step at its time.
#[derive(Clone, Debug)]
pub struct Mark {
    /// Time since the call came.
    pub after: Duration,
    /// Generation of the rules in force.
    pub generation: Generation,
    /// What happened.
    pub step: Step,
}

/// Something that happened to a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Step {
    /// The filter or step.
    pub name: &'static str,
    /// What it said.
    pub word: &'static str,
    /// Names and values of the details.
    pub fields: Vec<(&'static str, String)>,
}

impl Step {
    /// A step without details.
    pub fn new(name: &'static str, word: &'static str) -> Self {
        Self {
            name,
            word,
            fields: Vec::new(),
        }
    }

    /// Adds a detail.
    #[must_use]
    pub fn with(mut self, name: &'static str, value: impl std::fmt::Display) -> Self {
        self.fields.push((name, value.to_string()));
        self
    }
}

impl Trail {
    /// The calls of a request that came to this entry, the oldest first.
    pub fn of<'a>(&'a self, request: &'a str) -> impl Iterator<Item = &'a Tale> {
        self.calls
            .values()
            .filter(move |tale| &*tale.request == request)
    }

    fn open(&mut self, now: Now, head: &crate::request::Head) {
        // The oldest eighth goes at once, as each removal moves all the rest.
        if self.calls.len() >= CALLS {
            self.calls.drain(..CALLS / 8);
        }
        let tale = Tale {
            request: head.id.clone(),
            attempt: head.attempt,
            received: now.system,
            steps: Vec::new(),
            dropped: 0,
            start: now.instant,
        };
        self.calls.insert(head.call, tale);
    }

    fn add(&mut self, now: Now, call: CallId, step: &Step) {
        let generation = self.generation;
        let Some(tale) = self.calls.get_mut(&call) else {
            return;
        };
        if tale.steps.len() >= STEPS {
            tale.steps.pop();
            tale.dropped += 1;
        }
        tale.steps.push(Mark {
            after: now.instant.saturating_duration_since(tale.start),
            generation,
            step: step.clone(),
        });
    }
}

impl Controller for Trail {
    fn handle(&mut self, now: Now, event: &Event, _: &mut Outbox) {
        match event {
            Event::Call(request) => self.open(now, request.head()),
            Event::Explained { call, step } => self.add(now, *call, step),
            Event::InForce(rules) => self.generation = rules.generation,
            _ => {}
        }
    }
}
