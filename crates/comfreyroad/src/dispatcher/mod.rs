//! The calls under way: takes each through the chain, sends it, and passes the answer back.

mod answer;
mod call;
mod kept;
mod replay;
mod resume;

use indexmap::IndexMap;

use crate::action::{Action, Send};
use crate::clock::Now;
use crate::controller::Controllers;
use crate::event::Event;
use crate::filter::View;
use crate::filter::chain::{self, Stop};
use crate::id::{AttemptId, AttemptTag, CallId};
use crate::note::{self, Note};
use crate::outbox::Outbox;
use crate::record::{Key, Outcome, Record, Stream};
use crate::refusal::{Code, Refusal};
use crate::request::{Placed, Received, Repeat, Request};
use crate::settings::Settings;

use call::{Active, Call};

/// The calls under way, in order of arrival.
#[derive(Debug)]
pub struct Dispatcher {
    prefix: String,
    max_calls: usize,
    calls: IndexMap<CallId, Call>,
    attempts: IndexMap<AttemptId, CallId>,
    last_attempt: AttemptId,
}

/// One turn: the time, the state to read, and what comes of it.
pub(crate) struct Turn<'a> {
    pub(crate) now: Now,
    pub(crate) state: &'a Controllers,
    pub(crate) out: &'a mut Outbox,
}

impl Turn<'_> {
    fn view(&self) -> View<'_> {
        View {
            now: self.now,
            state: self.state,
        }
    }
}

impl Dispatcher {
    pub(crate) fn new(settings: &Settings) -> Self {
        Self {
            prefix: format!("{}.{}", settings.entry, settings.boot),
            max_calls: settings.max_calls,
            calls: IndexMap::new(),
            attempts: IndexMap::new(),
            last_attempt: 0,
        }
    }

    /// Calls under way.
    pub fn calls(&self) -> usize {
        self.calls.len()
    }

    pub(crate) fn handle(&mut self, event: Event, turn: &mut Turn<'_>) {
        match event {
            Event::Call(request) => self.on_call(*request, turn),
            Event::CallerGone(call) => self.on_caller_gone(call, turn),
            Event::Attempt {
                attempt, signal, ..
            } => self.on_signal(attempt, signal, turn),
            Event::ClaimDecided(key) => self.resume_claim(&key, turn),
            Event::InForce(_) | Event::Room => self.resume_all(turn),
            Event::BillSafe(call) => self.on_bill_safe(call, turn),
            Event::Tick => self.on_tick(turn),
            _ => {}
        }
    }

    fn on_call(&mut self, request: Request<Received>, turn: &mut Turn<'_>) {
        let call = request.head().call;
        if self.calls.len() >= self.max_calls {
            let refusal = Refusal::not_run(&request, Code::Overloaded);
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
            Err(Stop::Claiming(request)) => Active::Claiming(request),
            Err(Stop::Queued(request)) => Active::Queued(request),
            Err(Stop::Retrying(request)) => Active::Retrying(request),
        };
        let Some(known) = self.calls.get_mut(&call) else {
            return;
        };
        if let Active::Claiming(request) = &active
            && known.claim.is_none()
        {
            let key = request.key();
            known.claim = Some(key.clone());
            turn.out.raise(Event::ClaimWanted {
                key,
                writer: turn.state.claims.writer(call),
            });
        }
        known.active = Some(active);
    }

    fn send(&mut self, call: CallId, request: Request<Placed>, turn: &mut Turn<'_>) {
        self.last_attempt += 1;
        let attempt = self.last_attempt;
        let tag: AttemptTag = format!("{}.{attempt}", self.prefix).into();
        let stage = request.stage();
        let pinned = stage.origin.pinned();
        let send = Send {
            attempt,
            tag: tag.clone(),
            upstream: stage.slot.upstream.clone(),
            address: stage.slot.address.clone(),
            version: pinned.plan.version().cloned(),
            resume_from: stage.delivered,
            priority: pinned.allowed.class as u8,
            deadline: request.head().deadline,
            head: request.shared_head(),
        };
        turn.out.raise(Event::Sent(send.upstream.clone()));
        turn.out.act(Action::Send(Box::new(send)));
        self.attempts.insert(attempt, call);
        if let Some(known) = self.calls.get_mut(&call) {
            known.active = Some(Active::Running(Box::new(request.send(attempt, tag))));
        }
    }

    /// Ends a call without an answer, or breaks the answer off where it has begun.
    fn refuse(&mut self, call: CallId, refusal: Refusal, turn: &mut Turn<'_>) {
        let Some(known) = self.calls.swap_remove(&call) else {
            return;
        };
        if let Some(key) = known.claim {
            if refusal.was_sent() {
                Self::write_outcome(&key, call, Outcome::Doubtful, turn);
            } else {
                let writer = turn.state.claims.writer(call);
                turn.out.raise(Event::ClaimReleased { key, writer });
            }
        }
        turn.out.note(
            Note::new(&note::REFUSED)
                .with("call", call)
                .with("why", &refusal),
        );
        let action = if known.begun {
            Action::Break(call)
        } else {
            Action::Refuse { call, refusal }
        };
        turn.out.act(action);
    }

    /// Writes down what became of a claimed request.
    fn write_outcome(key: &Key, call: CallId, outcome: Outcome, turn: &mut Turn<'_>) {
        let writer = turn.state.claims.writer(call);
        let record = Record::Settle {
            key: key.clone(),
            writer,
            outcome,
        };
        turn.out.raise(Event::Write {
            stream: Stream::Claims,
            record: std::rc::Rc::new(record),
        });
    }

    fn may_repeat(request: &Request<crate::request::Sent>) -> bool {
        request.stage().placed.origin.pinned().allowed.repeat == Repeat::Idempotent
    }
}
