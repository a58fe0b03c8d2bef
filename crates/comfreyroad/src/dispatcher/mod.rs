//! Manages the open calls: runs each through the filter chain, sends it, and delivers the answer.

mod answer;
mod call;
mod capture;
mod end;
mod fail;
mod hedge;
mod rating;
mod replay;
mod send;
mod wait;

use indexmap::IndexMap;

use crate::action::Action;
use crate::clock::Now;
use crate::controller::Controllers;
use crate::controller::trace::Step;
use crate::event::Event;
use crate::filter::chain::{self, Stop};
use crate::filter::{View, admit};
use crate::id::{AttemptId, CallId};
use crate::mechanism::Mechanism;
use crate::outbox::Outbox;
use crate::refusal::{Code, Refusal};
use crate::request::{Pinned, Placed, Received, Request};
use crate::settings::Settings;

use call::{Call, State};

/// Manages the open calls.
#[derive(Debug)]
pub struct Dispatcher {
    prefix: String,
    max_calls: usize,
    checks_answers: bool,
    awaits_ratings: bool,
    calls: IndexMap<CallId, Call>,
    attempts: IndexMap<AttemptId, CallId>,
    last_attempt: AttemptId,
    late_signals: u64,
}

/// Context of one event: the time, the state to read, and the outbox for the results.
pub(crate) struct Context<'a> {
    pub(crate) now: Now,
    pub(crate) state: &'a Controllers,
    pub(crate) out: &'a mut Outbox,
}

impl<'a> Context<'a> {
    fn view(&self) -> View<'a> {
        View {
            now: self.now,
            state: self.state,
        }
    }

    /// Adds a step to the trace of a call.
    fn explain(&mut self, call: CallId, step: Step) {
        self.out.raise(Event::Explained { call, step });
    }
}

impl Dispatcher {
    pub(crate) fn new(settings: &Settings) -> Self {
        Self {
            prefix: format!("{}.{}", settings.entry, settings.boot),
            max_calls: settings.max_calls,
            checks_answers: settings.is_enabled(Mechanism::AnswerChecks),
            awaits_ratings: settings.is_enabled(Mechanism::AnswerRating),
            calls: IndexMap::new(),
            attempts: IndexMap::new(),
            last_attempt: 0,
            late_signals: 0,
        }
    }

    /// Number of open calls.
    pub fn calls(&self) -> usize {
        self.calls.len()
    }

    /// Number of signals that arrived for abandoned attempts.
    pub fn late_signals(&self) -> u64 {
        self.late_signals
    }

    pub(crate) fn handle(&mut self, event: Event, ctx: &mut Context<'_>) {
        match event {
            Event::Call(request) => self.on_call(*request, ctx),
            Event::CallerGone(call) => self.on_caller_gone(call, ctx),
            Event::Attempt {
                attempt, signal, ..
            } => self.on_signal(attempt, signal, ctx),
            Event::ClaimDecided(key) => self.resume_claim(&key, ctx),
            Event::InForce(_) | Event::VersionHeld(_) => self.resume_all(ctx),
            Event::CapacityFreed => self.resume_queued(ctx),
            Event::Queued(ticket) => self.evict_for(&ticket, ctx),
            Event::Rated { call, good } => self.on_rated(call, good, ctx),
            Event::BillSafe(call) => self.on_bill_safe(call, ctx),
            Event::CutCalls => self.cut_off(ctx),
            Event::Tick => self.on_tick(ctx),
            _ => {}
        }
    }

    fn on_call(&mut self, request: Request<Received>, ctx: &mut Context<'_>) {
        let call = request.head().call;
        if self.calls.len() >= self.max_calls {
            let refusal = Refusal::not_run(&request, Code::Overloaded);
            ctx.out.raise(Event::CallEnded(call));
            ctx.out.act(Action::Refuse { call, refusal });
            return;
        }
        self.calls.insert(call, Call::default());
        let result = chain::run(request, &ctx.view());
        self.dispatch(call, result, ctx);
    }

    /// Acts on the result of the chain: sends, replays, queues or refuses the request.
    fn dispatch(
        &mut self,
        call: CallId,
        result: Result<Request<Placed>, Stop>,
        ctx: &mut Context<'_>,
    ) {
        let state = match result {
            Ok(request) => return self.send(call, request, ctx),
            Err(Stop::Refused(refusal)) => return self.refuse(call, refusal, ctx),
            Err(Stop::Replayed(request, replay)) => {
                return self.replay(call, request, replay, ctx);
            }
            Err(Stop::Claiming(request)) => {
                self.request_claim(call, &request, ctx);
                State::Claiming(request)
            }
            Err(Stop::Queued(request)) => {
                Self::enqueue(&request.stage().pinned, request.head(), false, ctx);
                State::Queued(request)
            }
            Err(Stop::Retrying(request)) => {
                let pinned = &request.stage().claimed.pinned;
                Self::enqueue(pinned, request.head(), true, ctx);
                State::Retrying(request)
            }
        };
        if let Some(open_call) = self.calls.get_mut(&call) {
            open_call.state = Some(state);
        }
    }

    fn request_claim(&mut self, call: CallId, request: &Request<Pinned>, ctx: &mut Context<'_>) {
        let Some(open_call) = self.calls.get_mut(&call) else {
            return;
        };
        if open_call.claim.is_some() {
            return;
        }
        let key = request.key();
        open_call.claim = Some(key.clone());
        ctx.explain(call, Step::new("claim", "waits for the log"));
        ctx.out.raise(Event::ClaimWanted {
            key,
            writer: ctx.state.claims.writer(call),
        });
    }

    /// Adds a call to the queue of its lane, unless it is already there.
    fn enqueue(
        pinned: &Pinned,
        head: &crate::request::Head,
        was_sent: bool,
        ctx: &mut Context<'_>,
    ) {
        let ticket = admit::ticket(pinned, head, &ctx.view(), was_sent);
        let lane = ctx.state.queue.lane_of(head.call);
        if lane == Some(&ticket.lane) {
            return;
        }
        if lane.is_some() {
            let (call, placed) = (head.call, false);
            ctx.out.raise(Event::Unqueued { call, placed });
        }
        let step = Step::new("queue", "waits").with("lane", &ticket.lane);
        ctx.explain(head.call, step);
        ctx.out.raise(Event::Queued(ticket));
    }
}
