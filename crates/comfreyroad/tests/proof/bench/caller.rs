use std::sync::Arc;
use std::time::{Duration, Instant};

use comfreyroad::id::{RequestId, VersionId};
use comfreyroad::refusal::{Code, Ran};
use comfreyroad::request::{Chat, Head, Request, Service, Target};
use comfreyroad::{Event, id::CallId};

use super::answer::parts;
use super::node::Post;
use super::{Bench, Step};

/// Time that a caller gives the whole answer.
const DEADLINE: Duration = Duration::from_secs(6);
/// Pause before a retry, times the number of tries so far.
const PAUSE: Duration = Duration::from_millis(100);
/// Tries of a caller who retries.
const TRIES: u32 = 4;
/// The token of a stream that counts as its middle.
const MIDDLE: usize = 5;

/// What a caller asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Ask {
    /// A streamed answer of some tokens by a route, a model or a version.
    Chat(&'static str, u32),
    /// A booking, which may not be repeated.
    Book,
    /// An order lookup.
    Look,
}

/// A request, and how its caller behaves.
#[derive(Clone, Debug)]
pub(crate) struct CallSpec {
    pub(crate) id: RequestId,
    pub(crate) customer: &'static str,
    pub(crate) ask: Ask,
    pub(crate) session: Option<Arc<str>>,
    /// Whether it is tried again elsewhere.
    pub(crate) retries: bool,
}

/// One try of a request at one entry, and what the caller got.
pub(crate) struct Call {
    pub(crate) spec: CallSpec,
    pub(crate) post: Post,
    pub(crate) attempt: u32,
    pub(crate) asked: Instant,
    pub(crate) status: Option<u16>,
    pub(crate) session: Option<Arc<str>>,
    pub(crate) version: Option<VersionId>,
    pub(crate) body: Vec<u8>,
    pub(crate) outcome: Outcome,
    deliveries: usize,
}

/// How a try ended for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// Not yet.
    Open,
    /// With the end of an answer.
    Finished,
    /// In the middle of an answer.
    Broken,
    /// With a refusal.
    Refused(Code, Ran),
    /// The entry died.
    Lost,
    /// The entry ended by itself and left it.
    Cut,
    /// The caller hung up.
    HungUp,
}

impl CallSpec {
    pub(crate) fn new(id: impl Into<Arc<str>>, customer: &'static str, ask: Ask) -> Self {
        Self {
            id: id.into(),
            customer,
            ask,
            session: None,
            retries: true,
        }
    }

    /// The whole answer.
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
        match self.ask {
            Ask::Chat(model, tokens) => Target::Chat(Chat {
                model: model.into(),
                stream: true,
                max_tokens: tokens,
                prompt_tokens: 100,
                prefix: 1,
            }),
            Ask::Book => service("POST", "/bookings"),
            Ask::Look => service("GET", "/orders/1"),
        }
    }
}

impl Call {
    pub(crate) fn is_open_at(&self, post: Post) -> bool {
        self.post == post && self.outcome == Outcome::Open
    }

    /// Whether the caller holds an answer that claims to be whole.
    pub(crate) fn is_answered(&self) -> bool {
        self.outcome == Outcome::Finished && self.status == Some(200)
    }

    /// When the caller gives up.
    pub(crate) fn deadline(&self) -> Instant {
        self.asked + DEADLINE
    }
}

impl Bench {
    /// Sends a request to an entry; the handle is its place in [`Bench::calls`].
    pub(crate) fn call(&mut self, node: usize, spec: CallSpec) -> usize {
        self.call_again(node, spec, 1)
    }

    fn call_again(&mut self, node: usize, spec: CallSpec, attempt: u32) -> usize {
        let (call, post, now) = (self.calls.len(), self.post(node), self.now.instant);
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
            may_repeat: (spec.ask == Ask::Book).then_some(false),
            target: spec.target(),
            body: Arc::from([]),
        };
        self.calls.push(Call {
            spec,
            post,
            attempt,
            asked: now,
            status: None,
            session: None,
            version: None,
            body: Vec::new(),
            outcome: Outcome::Open,
            deliveries: 0,
        });
        if self.is_up(post) {
            self.deliver(post, Event::Call(Box::new(Request::new(head))));
        } else {
            self.end_call(call, Outcome::Lost);
        }
        call
    }

    /// The same request again through another entry, at the same moment.
    pub(crate) fn duplicate(&mut self, call: usize) {
        let (spec, attempt) = (self.calls[call].spec.clone(), self.calls[call].attempt);
        let node = self.balance(self.calls[call].post.node);
        self.call_again(node, spec, attempt + 1);
    }

    /// The caller hangs up.
    pub(crate) fn hang_up(&mut self, call: usize) {
        if self.calls[call].outcome != Outcome::Open {
            return;
        }
        self.calls[call].outcome = Outcome::HungUp;
        let post = self.calls[call].post;
        self.deliver(post, Event::CallerGone(call as CallId));
    }

    /// An entry that the balancer believes ready, another one than the last if there is any.
    pub(crate) fn balance(&mut self, last: usize) -> usize {
        let is_ready = |node: &usize| self.nodes[*node].ready && *node != last;
        let ready: Vec<usize> = (0..self.nodes.len()).filter(is_ready).collect();
        self.rng.choice(ready).unwrap_or(last)
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

    pub(super) fn on_deliver(&mut self, post: Post, call: usize, bytes: &[u8]) {
        let known = &mut self.calls[call];
        known.body.extend_from_slice(bytes);
        known.deliveries += 1;
        let step = match known.deliveries {
            1 => Step::FirstToken,
            MIDDLE => Step::MidStream,
            _ => return,
        };
        self.reached(step, post.node, None, Some(call));
    }

    pub(super) fn end_call(&mut self, call: usize, outcome: Outcome) {
        let known = &mut self.calls[call];
        if known.outcome != Outcome::Open {
            return;
        }
        known.outcome = outcome;
        let (spec, attempt, node) = (known.spec.clone(), known.attempt, known.post.node);
        if known.outcome == Outcome::Finished || !spec.retries || attempt >= TRIES {
            return;
        }
        self.after(PAUSE * attempt, move |bench| {
            let node = bench.balance(node);
            bench.call_again(node, spec, attempt + 1);
        });
    }
}
