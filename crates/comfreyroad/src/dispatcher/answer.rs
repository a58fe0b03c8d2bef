//! Answers on their way back to their callers.

use std::sync::Arc;

use super::{Active, Dispatcher, Turn};
use crate::action::Action;
use crate::answer::{self, Fault, Part};
use crate::controller::trace::Step;
use crate::event::{Event, Signal};
use crate::id::{AttemptId, CallId};
use crate::record::Bill;
use crate::request::{Request, Sent, Target, Usage};

/// Bytes of a plain service's answer that are held back until it is whole.
const HELD_BYTES: usize = 8 * 1024;

impl Dispatcher {
    pub(super) fn on_signal(&mut self, attempt_id: AttemptId, signal: Signal, turn: &mut Turn<'_>) {
        // An attempt that was given up is not known any more, and what comes of it is late.
        let Some(call) = self.attempts.get(&attempt_id).copied() else {
            self.late += 1;
            return;
        };
        let is_checked = self.checks_answers;
        let view = turn.view();
        let Some(request) = self.running(call) else {
            return;
        };
        let passed = if is_checked {
            answer::pass(request, attempt_id, signal, &view)
        } else {
            answer::pass_unchecked(request, signal, &view)
        };
        match passed {
            Ok(Part::Nothing) => {}
            Ok(Part::Piece(bytes)) => self.on_piece(call, attempt_id, bytes, turn),
            Ok(Part::Whole { usage, bill }) => self.on_whole(call, attempt_id, usage, bill, turn),
            Err(Fault::Late) => self.late += 1,
            Err(fault) => self.fail(call, attempt_id, &fault, turn),
        }
    }

    pub(super) fn running(&mut self, call: CallId) -> Option<&mut Request<Sent>> {
        match &mut self.calls.get_mut(&call)?.active {
            Some(Active::Running(request)) => Some(request),
            _ => None,
        }
    }

    /// The first of two sendings that gives a part goes on, the other one is stopped.
    fn choose(&mut self, call: CallId, attempt_id: AttemptId, turn: &mut Turn<'_>) {
        let Some(request) = self.running(call) else {
            return;
        };
        let Some(losing) = request.stage_mut().keep(attempt_id) else {
            return;
        };
        turn.explain(
            call,
            Step::new("answer", "other attempt cancelled").with("attempt", &losing.tag),
        );
        self.cancel(&losing, turn);
        turn.out.raise(Event::CapacityFreed);
    }

    fn on_piece(
        &mut self,
        call: CallId,
        attempt_id: AttemptId,
        bytes: Arc<[u8]>,
        turn: &mut Turn<'_>,
    ) {
        self.choose(call, attempt_id, turn);
        let Some(request) = self.running(call) else {
            return;
        };
        let is_held = matches!(request.head().target, Target::Service(_));
        let is_ratable = Self::is_ratable(request);
        let stage = request.stage();
        let (lane, at) = (stage.origin.pinned().lane(), stage.attempt.sent_at);
        let is_rated = stage.origin.pinned().plan.is_rated();
        let is_judged = self.judges && is_rated;
        if is_ratable && !is_rated {
            self.copy(call, &bytes, turn);
        }
        let Some(known) = self.calls.get_mut(&call) else {
            return;
        };
        if !known.begun && known.held.is_empty() {
            let took = turn.now.instant.saturating_duration_since(at);
            turn.out.raise(Event::AnswerBegan { lane, took });
            turn.explain(call, Step::new("answer", "begins"));
        }
        if known.claim.is_some() {
            known.kept.push(&bytes);
        }
        if is_judged {
            known.hold_for_rating(bytes);
            return;
        }
        if is_held && !known.begun && known.held_bytes() + bytes.len() <= HELD_BYTES {
            known.held.push(bytes);
            return;
        }
        self.begin(call, turn);
        turn.out.act(Action::Deliver { call, bytes });
    }

    /// Begins the answer, if that is not done, with all that was held back.
    fn begin(&mut self, call: CallId, turn: &mut Turn<'_>) {
        let Some(known) = self.calls.get_mut(&call) else {
            return;
        };
        if std::mem::replace(&mut known.begun, true) {
            return;
        }
        let held = std::mem::take(&mut known.held);
        let Some(Active::Running(request)) = &known.active else {
            return;
        };
        let stage = request.stage();
        let pinned = stage.origin.pinned();
        known.kept.begin(stage.attempt.content_type.clone());
        turn.out.act(Action::Begin {
            call,
            status: stage.attempt.status.unwrap_or(200),
            content_type: stage.attempt.content_type.clone(),
            session: pinned.session.clone(),
            version: pinned.plan.version().cloned(),
        });
        for bytes in held {
            turn.out.act(Action::Deliver { call, bytes });
        }
    }

    fn on_whole(
        &mut self,
        call: CallId,
        attempt_id: AttemptId,
        usage: Usage,
        bill: Option<Bill>,
        turn: &mut Turn<'_>,
    ) {
        self.choose(call, attempt_id, turn);
        let is_judged = self
            .running(call)
            .is_some_and(|request| request.stage().origin.pinned().plan.is_rated())
            && self.judges;
        if !is_judged {
            self.begin(call, turn);
        }
        let Some(known) = self.calls.get_mut(&call) else {
            return;
        };
        let Some(Active::Running(request)) = known.active.take() else {
            return;
        };
        self.attempts.swap_remove(&attempt_id);
        let stage = request.stage();
        let lane = stage.origin.pinned().lane();
        let took = turn
            .now
            .instant
            .saturating_duration_since(stage.attempt.sent_at);
        turn.out.raise(Event::Answered { lane, took });
        if is_judged {
            return self.judge(call, *request, usage, bill, turn);
        }
        let request = request.answer(usage);
        self.rate_sample(call, &request, turn);
        self.settle_bill(call, request, bill, turn);
    }

    pub(super) fn on_bill_safe(&mut self, call: CallId, turn: &mut Turn<'_>) {
        let Some(known) = self.calls.get_mut(&call) else {
            return;
        };
        let request = match known.active.take() {
            Some(Active::Billing(request)) => request,
            other => {
                known.active = other;
                return;
            }
        };
        let usage = request.bill().stage().usage;
        turn.explain(call, Step::new("finish", "answered"));
        self.forget(call, turn);
        turn.out.act(Action::Finish { call, usage });
    }
}
