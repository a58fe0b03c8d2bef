//! Traces of recent calls, looked up by request id. They contain names and numbers, but no bodies and no keys.

use std::time::{Duration, Instant, SystemTime};

use indexmap::IndexMap;

use super::Controller;
use crate::clock::Now;
use crate::event::Event;
use crate::id::{CallId, Generation, RequestId};
use crate::outbox::Outbox;

/// Maximum number of calls with a trace.
const MAX_CALLS: usize = 2048;
/// Maximum number of steps per trace. When it is full, a new step replaces the last one.
const MAX_STEPS: usize = 48;

/// Holds the traces of recent calls.
#[derive(Debug, Default)]
pub struct Traces {
    calls: IndexMap<CallId, Trace>,
    generation: Generation,
}

/// The trace of one call.
#[derive(Clone, Debug)]
pub struct Trace {
    /// The request, as its caller names it.
    pub request: RequestId,
    /// The number of the caller's attempt.
    pub attempt: u32,
    /// When the call arrived.
    pub received: SystemTime,
    /// The steps, in order.
    pub steps: Vec<Point>,
    /// Number of steps dropped because the trace was full.
    pub dropped: usize,
    started_at: Instant,
}

/// A step with its time and the rules in force.
#[derive(Clone, Debug)]
pub struct Point {
    /// Time since the call arrived.
    pub after: Duration,
    /// Generation of the rules in force.
    pub generation: Generation,
    /// The step.
    pub step: Step,
}

/// A step in the processing of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Step {
    /// The name of the filter or step.
    pub name: &'static str,
    /// The result of the step.
    pub result: &'static str,
    /// Names and values of the details, in order.
    pub fields: Vec<(&'static str, String)>,
}

impl Step {
    /// Creates a step without details.
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

impl Traces {
    /// Returns the traces of a request's calls at this entry, the oldest first.
    pub fn of_request<'a>(&'a self, request: &'a str) -> impl Iterator<Item = &'a Trace> {
        self.calls
            .values()
            .filter(move |trace| &*trace.request == request)
    }

    fn start_trace(&mut self, now: Now, head: &crate::request::Head) {
        // The oldest eighth is removed at once, since each removal from the front moves all later elements.
        if self.calls.len() >= MAX_CALLS {
            self.calls.drain(..MAX_CALLS / 8);
        }
        let trace = Trace {
            request: head.id.clone(),
            attempt: head.attempt,
            received: now.system,
            steps: Vec::new(),
            dropped: 0,
            started_at: now.instant,
        };
        self.calls.insert(head.call, trace);
    }

    fn add_step(&mut self, now: Now, call: CallId, step: &Step) {
        let generation = self.generation;
        let Some(trace) = self.calls.get_mut(&call) else {
            return;
        };
        if trace.steps.len() >= MAX_STEPS {
            trace.steps.pop();
            trace.dropped += 1;
        }
        trace.steps.push(Point {
            after: now.instant.saturating_duration_since(trace.started_at),
            generation,
            step: step.clone(),
        });
    }
}

impl Controller for Traces {
    fn handle(&mut self, now: Now, event: &Event, _: &mut Outbox) {
        match event {
            Event::Call(request) => self.start_trace(now, request.head()),
            Event::Explained { call, step } => self.add_step(now, *call, step),
            Event::InForce(rules) => self.generation = rules.generation,
            _ => {}
        }
    }
}
