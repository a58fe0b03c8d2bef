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
pub struct CallTraces {
    calls: IndexMap<CallId, CallTrace>,
    generation: Generation,
}

/// What became of one call.
#[derive(Clone, Debug)]
pub struct CallTrace {
    /// The request, as its caller names it.
    pub request: RequestId,
    /// The number of the caller's try.
    pub attempt: u32,
    /// When it came.
    pub received: SystemTime,
    /// What happened, in order.
    pub steps: Vec<TracedStep>,
    /// Steps that were dropped for want of room.
    pub dropped: usize,
    start: Instant,
}

/// A step at its time.
#[derive(Clone, Debug)]
pub struct TracedStep {
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
    pub result: &'static str,
    /// Names and values of the details.
    pub fields: Vec<(&'static str, String)>,
}

impl Step {
    /// A step without details.
    pub fn new(name: &'static str, result: &'static str) -> Self {
        Self {
            name,
            result,
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

impl CallTraces {
    /// The calls of a request that came to this entry, the oldest first.
    pub fn of_request<'a>(&'a self, request: &'a str) -> impl Iterator<Item = &'a CallTrace> {
        self.calls
            .values()
            .filter(move |trace| &*trace.request == request)
    }

    fn open(&mut self, now: Now, head: &crate::request::Head) {
        // The oldest eighth goes at once, as each removal moves all the rest.
        if self.calls.len() >= CALLS {
            self.calls.drain(..CALLS / 8);
        }
        let trace = CallTrace {
            request: head.id.clone(),
            attempt: head.attempt,
            received: now.system,
            steps: Vec::new(),
            dropped: 0,
            start: now.instant,
        };
        self.calls.insert(head.call, trace);
    }

    fn add(&mut self, now: Now, call: CallId, step: &Step) {
        let generation = self.generation;
        let Some(trace) = self.calls.get_mut(&call) else {
            return;
        };
        if trace.steps.len() >= STEPS {
            trace.steps.pop();
            trace.dropped += 1;
        }
        trace.steps.push(TracedStep {
            after: now.instant.saturating_duration_since(trace.start),
            generation,
            step: step.clone(),
        });
    }
}

impl Controller for CallTraces {
    fn handle(&mut self, now: Now, event: &Event, _: &mut Outbox) {
        match event {
            Event::Call(request) => self.open(now, request.head()),
            Event::Explained { call, step } => self.add(now, *call, step),
            Event::InForce(rules) => self.generation = rules.generation,
            _ => {}
        }
    }
}
