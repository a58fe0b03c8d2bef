//! The calls under way: takes each through the chain, sends it, and passes the answer back.

mod answer;
mod call;
mod end;
mod fail;
mod hedge;
mod judge;
mod kept;
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

use call::{Active, Call};

/// The calls under way.
#[derive(Debug)]
pub struct Dispatcher {
    prefix: String,
    max_calls: usize,
    checks_answers: bool,
    judges: bool,
    calls: IndexMap<CallId, Call>,
    attempts: IndexMap<AttemptId, CallId>,
    last_attempt: AttemptId,
    late: u64,
}

/// One turn: the time, the state to read, and what comes of it.
pub(crate) struct Turn<'a> {
    pub(crate) now: Now,
    pub(crate) state: &'a Controllers,
    pub(crate) out: &'a mut Outbox,
}

impl<'a> Turn<'a> {
    fn view(&self) -> View<'a> {
        View {
            now: self.now,
            state: self.state,
        }
    }

    /// Adds a step to a call's trail.
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
            judges: settings.is_enabled(Mechanism::AnswerRating),
            calls: IndexMap::new(),
            attempts: IndexMap::new(),
            last_attempt: 0,
            late: 0,
        }
    }

    /// Calls under way.
    pub fn calls(&self) -> usize {
        self.calls.len()
    }

    /// Signals that came for attempts which had been given up.
    pub fn late(&self) -> u64 {
        self.late
    }

    pub(crate) fn handle(&mut self, event: Event, turn: &mut Turn<'_>) {
        match event {
            Event::Call(request) => self.on_call(*request, turn),
            Event::CallerGone(call) => self.on_caller_gone(call, turn),
            Event::Attempt {
                attempt, signal, ..
            } => self.on_signal(attempt, signal, turn),
            Event::ClaimDecided(key) => self.resume_claim(&key, turn),
            Event::InForce(_) | Event::VersionHeld(_) => self.resume_all(turn),
            Event::CapacityFreed => self.resume_lines(turn),
            Event::Queued(ticket) => self.make_room(&ticket, turn),
            Event::Rated { call, good } => self.on_rated(call, good, turn),
            Event::BillSafe(call) => self.on_bill_safe(call, turn),
            Event::CutCalls => self.cut_off(turn),
            Event::Tick => self.on_tick(turn),
            _ => {}
        }
    }

    fn on_call(&mut self, request: Request<Received>, turn: &mut Turn<'_>) {
        let call = request.head().call;
        if self.calls.len() >= self.max_calls {
            let refusal = Refusal::not_run(&request, Code::Overloaded);
            turn.out.raise(Event::CallEnded(call));
            turn.out.act(Action::Refuse { call, refusal });
            return;
        }
        self.calls.insert(call, Call::default());
        let result = chain::run(request, &turn.view());
        self.settle(call, result, turn);
    }

    /// Goes on after the chain: sends, parks or refuses.
    fn settle(&mut self, call: CallId, result: Result<Request<Placed>, Stop>, turn: &mut Turn<'_>) {
        let active = match result {
            Ok(request) => return self.send(call, request, turn),
            Err(Stop::Refused(refusal)) => return self.refuse(call, refusal, turn),
            Err(Stop::Replayed(request, replay)) => {
                return self.replay(call, request, replay, turn);
            }
            Err(Stop::Claiming(request)) => {
                self.want_claim(call, &request, turn);
                Active::Claiming(request)
            }
            Err(Stop::Queued(request)) => {
                Self::park(&request.stage().pinned, request.head(), false, turn);
                Active::Queued(request)
            }
            Err(Stop::Retrying(request)) => {
                let pinned = &request.stage().claimed.pinned;
                Self::park(pinned, request.head(), true, turn);
                Active::Retrying(request)
            }
        };
        if let Some(known) = self.calls.get_mut(&call) {
            known.active = Some(active);
        }
    }

    fn want_claim(&mut self, call: CallId, request: &Request<Pinned>, turn: &mut Turn<'_>) {
        let Some(known) = self.calls.get_mut(&call) else {
            return;
        };
        if known.claim.is_some() {
            return;
        }
        let key = request.key();
        known.claim = Some(key.clone());
        turn.explain(call, Step::new("claim", "waits for the log"));
        turn.out.raise(Event::ClaimWanted {
            key,
            writer: turn.state.claims.writer(call),
        });
    }

    /// Has a call wait in the line of its lane, if it does not do so already.
    fn park(pinned: &Pinned, head: &crate::request::Head, was_sent: bool, turn: &mut Turn<'_>) {
        let ticket = admit::ticket(pinned, head, &turn.view(), was_sent);
        let lane = turn.state.queue.lane_of(head.call);
        if lane == Some(&ticket.lane) {
            return;
        }
        if lane.is_some() {
            let (call, placed) = (head.call, false);
            turn.out.raise(Event::Unqueued { call, placed });
        }
        let step = Step::new("queue", "waits").with("lane", &ticket.lane);
        turn.explain(head.call, step);
        turn.out.raise(Event::Queued(ticket));
    }
}
