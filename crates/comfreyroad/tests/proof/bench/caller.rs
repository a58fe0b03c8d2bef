use std::sync::Arc;
use std::time::{Duration, Instant};

use comfreyroad::id::{RequestId, VersionId};
use comfreyroad::refusal::{Code, Ran};
use comfreyroad::request::{Chat, Head, Request, Service, Target};
use comfreyroad::{Event, id::CallId};

use super::answer::parts;
use super::node::Instance;
use super::{Bench, Step};

/// Time that a caller waits for the complete answer.
const DEADLINE: Duration = Duration::from_secs(6);
/// Delay before a retry, multiplied by the number of attempts so far.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// Maximum number of attempts of a caller that retries.
const MAX_ATTEMPTS: u32 = 4;
/// The token at which a stream reaches `Step::MidStream`.
const MID_STREAM_TOKEN: usize = 5;

/// The kind of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Operation {
    /// A streamed chat: the name of a route, model or version, and the number of tokens.
    Chat(&'static str, u32),
    /// A booking, which is not idempotent.
    Book,
    /// An order lookup.
    Lookup,
}

/// A request and the retry behaviour of its caller.
#[derive(Clone, Debug)]
pub(crate) struct CallSpec {
    pub(crate) id: RequestId,
    pub(crate) customer: &'static str,
    pub(crate) operation: Operation,
    pub(crate) session: Option<Arc<str>>,
    /// Whether the caller retries through another entry.
    pub(crate) retries: bool,
}

/// One attempt of a request at one entry, with what the caller received.
pub(crate) struct Call {
    pub(crate) spec: CallSpec,
    pub(crate) instance: Instance,
    pub(crate) attempt: u32,
    pub(crate) sent_at: Instant,
    pub(crate) status: Option<u16>,
    pub(crate) session: Option<Arc<str>>,
    pub(crate) version: Option<VersionId>,
    pub(crate) body: Vec<u8>,
    pub(crate) outcome: Outcome,
    deliveries: usize,
}

/// How an attempt ended for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// The attempt is still in progress.
    Open,
    /// The answer ended normally.
    Finished,
    /// The answer was aborted before its end.
    Broken,
    /// The entry refused the request.
    Refused(Code, Ran),
    /// The entry was killed.
    Lost,
    /// The entry exited while the request was open.
    Cut,
    /// The caller disconnected.
    HungUp,
}

impl CallSpec {
    pub(crate) fn new(
        id: impl Into<Arc<str>>,
        customer: &'static str,
        operation: Operation,
    ) -> Self {
        Self {
            id: id.into(),
            customer,
            operation,
            session: None,
            retries: true,
        }
    }

    /// Returns the complete answer.
    pub(crate) fn whole(&self) -> Vec<u8> {
        parts(&self.id, &self.target()).concat()
    }

    fn target(&self) -> Target {
        let service = |method: &str, path: &str| {
            Target::Service(Service {
                method: method.into(),
                path: path.into(),
            })
        };
        match self.operation {
            Operation::Chat(model, tokens) => Target::Chat(Chat {
                model: model.into(),
                stream: true,
                max_tokens: tokens,
                prompt_tokens: 100,
                prefix: 1,
            }),
            Operation::Book => service("POST", "/bookings"),
            Operation::Lookup => service("GET", "/orders/1"),
        }
    }
}

impl Call {
    pub(crate) fn is_open_at(&self, instance: Instance) -> bool {
        self.instance == instance && self.outcome == Outcome::Open
    }

    /// Returns whether the caller received an answer that is marked as complete.
    pub(crate) fn is_answered(&self) -> bool {
        self.outcome == Outcome::Finished && self.status == Some(200)
    }

    /// Returns the time at which the caller gives up.
    pub(crate) fn deadline(&self) -> Instant {
        self.sent_at + DEADLINE
    }
}

impl Bench {
    /// Sends a request to an entry and returns its index in [`Bench::calls`].
    pub(crate) fn call(&mut self, node: usize, spec: CallSpec) -> usize {
        self.call_attempt(node, spec, 1)
    }

    fn call_attempt(&mut self, node: usize, spec: CallSpec, attempt: u32) -> usize {
        let (call, instance, now) = (self.calls.len(), self.instance(node), self.now.instant);
        let head = Head {
            call: call as CallId,
            id: spec.id.clone(),
            key: if spec.customer == "author" {
                [1; 32]
            } else {
                [2; 32]
            },
            session: spec.session.clone(),
            received: now,
            deadline: now + DEADLINE,
            attempt,
            may_repeat: (spec.operation == Operation::Book).then_some(false),
            target: spec.target(),
            body: Arc::from([]),
        };
        self.calls.push(Call {
            spec,
            instance,
            attempt,
            sent_at: now,
            status: None,
            session: None,
            version: None,
            body: Vec::new(),
            outcome: Outcome::Open,
            deliveries: 0,
        });
        if self.is_up(instance) {
            self.deliver(instance, Event::Call(Box::new(Request::new(head))));
        } else {
            self.end_call(call, Outcome::Lost);
        }
        call
    }

    /// Sends the same request through another entry without delay.
    pub(crate) fn duplicate(&mut self, call: usize) {
        let (spec, attempt) = (self.calls[call].spec.clone(), self.calls[call].attempt);
        let node = self.pick_entry(self.calls[call].instance.node);
        self.call_attempt(node, spec, attempt + 1);
    }

    /// Disconnects the caller.
    pub(crate) fn hang_up(&mut self, call: usize) {
        if self.calls[call].outcome != Outcome::Open {
            return;
        }
        self.calls[call].outcome = Outcome::HungUp;
        let instance = self.calls[call].instance;
        self.deliver(instance, Event::CallerGone(call as CallId));
    }

    /// Picks a random ready entry other than the previous one; returns the previous one if there is no other.
    pub(crate) fn pick_entry(&mut self, previous: usize) -> usize {
        let is_ready = |node: &usize| self.nodes[*node].ready && *node != previous;
        let ready: Vec<usize> = (0..self.nodes.len()).filter(is_ready).collect();
        self.rng.choice(ready).unwrap_or(previous)
    }

    pub(super) fn on_begin(
        &mut self,
        call: usize,
        status: u16,
        session: Option<Arc<str>>,
        version: Option<VersionId>,
    ) {
        let call = &mut self.calls[call];
        (call.status, call.session, call.version) = (Some(status), session, version);
    }

    pub(super) fn on_deliver(&mut self, instance: Instance, call: usize, bytes: &[u8]) {
        let current = &mut self.calls[call];
        current.body.extend_from_slice(bytes);
        current.deliveries += 1;
        let step = match current.deliveries {
            1 => Step::FirstToken,
            MID_STREAM_TOKEN => Step::MidStream,
            _ => return,
        };
        self.reached(step, instance.node, None, Some(call));
    }

    pub(super) fn end_call(&mut self, call: usize, outcome: Outcome) {
        let current = &mut self.calls[call];
        if current.outcome != Outcome::Open {
            return;
        }
        current.outcome = outcome;
        let (spec, attempt, node) = (current.spec.clone(), current.attempt, current.instance.node);
        if current.outcome == Outcome::Finished || !spec.retries || attempt >= MAX_ATTEMPTS {
            return;
        }
        self.after(RETRY_DELAY * attempt, move |bench| {
            let node = bench.pick_entry(node);
            bench.call_attempt(node, spec, attempt + 1);
        });
    }
}
