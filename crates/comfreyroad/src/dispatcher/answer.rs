//! Delivers answers to their callers.

use std::sync::Arc;

use super::{Context, Dispatcher, State};
use crate::action::Action;
use crate::answer::{self, Fault, Part};
use crate::controller::trace::Step;
use crate::event::{Event, Signal};
use crate::id::{AttemptId, CallId};
use crate::record::Bill;
use crate::request::{Request, Sent, Target, Usage};

/// Maximum number of bytes of an answer of a plain service that are buffered until the answer is complete.
const MAX_BUFFERED_BYTES: usize = 8 * 1024;

impl Dispatcher {
    pub(super) fn on_signal(
        &mut self,
        attempt_id: AttemptId,
        signal: Signal,
        ctx: &mut Context<'_>,
    ) {
        // An attempt that was abandoned is no longer listed, so its signals are late.
        let Some(call) = self.attempts.get(&attempt_id).copied() else {
            self.late_signals += 1;
            return;
        };
        let is_checked = self.checks_answers;
        let view = ctx.view();
        let Some(request) = self.running(call) else {
            return;
        };
        let passed = if is_checked {
            answer::process(request, attempt_id, signal, &view)
        } else {
            answer::process_unchecked(request, signal, &view)
        };
        match passed {
            Ok(Part::Nothing) => {}
            Ok(Part::Bytes(bytes)) => self.on_part(call, attempt_id, bytes, ctx),
            Ok(Part::Complete { usage, bill }) => self.complete(call, attempt_id, usage, bill, ctx),
            Err(Fault::Late) => self.late_signals += 1,
            Err(fault) => self.fail(call, attempt_id, &fault, ctx),
        }
    }

    pub(super) fn running(&mut self, call: CallId) -> Option<&mut Request<Sent>> {
        match &mut self.calls.get_mut(&call)?.state {
            Some(State::Running(request)) => Some(request),
            _ => None,
        }
    }

    /// Keeps the attempt that returned a part first, and cancels the other one of a hedged pair.
    fn settle_hedge(&mut self, call: CallId, attempt_id: AttemptId, ctx: &mut Context<'_>) {
        let Some(request) = self.running(call) else {
            return;
        };
        let Some(losing) = request.stage_mut().keep(attempt_id) else {
            return;
        };
        ctx.explain(
            call,
            Step::new("answer", "other attempt cancelled").with("attempt", &losing.tag),
        );
        self.cancel(&losing, ctx);
        ctx.out.raise(Event::CapacityFreed);
    }

    fn on_part(
        &mut self,
        call: CallId,
        attempt_id: AttemptId,
        bytes: Arc<[u8]>,
        ctx: &mut Context<'_>,
    ) {
        self.settle_hedge(call, attempt_id, ctx);
        let Some(request) = self.running(call) else {
            return;
        };
        let is_service = matches!(request.head().target, Target::Service(_));
        let can_be_rated = Self::can_be_rated(request);
        let stage = request.stage();
        let (lane, at) = (stage.origin.pinned().lane(), stage.attempt.sent_at);
        let is_rated = stage.origin.pinned().plan.is_rated();
        let awaits_rating = self.awaits_ratings && is_rated;
        if can_be_rated && !is_rated {
            self.copy_sample(call, &bytes, ctx);
        }
        let Some(open_call) = self.calls.get_mut(&call) else {
            return;
        };
        if !open_call.has_begun && open_call.buffered.is_empty() {
            let took = ctx.now.instant.saturating_duration_since(at);
            ctx.out.raise(Event::AnswerBegan { lane, took });
            ctx.explain(call, Step::new("answer", "begins"));
        }
        if open_call.claim.is_some() {
            open_call.capture.push(&bytes);
        }
        if awaits_rating {
            open_call.buffer_for_rating(bytes);
            return;
        }
        if is_service
            && !open_call.has_begun
            && open_call.buffered_bytes() + bytes.len() <= MAX_BUFFERED_BYTES
        {
            open_call.buffered.push(bytes);
            return;
        }
        self.begin(call, ctx);
        ctx.out.act(Action::Deliver { call, bytes });
    }

    /// Begins the answer unless it has begun, and delivers all buffered parts.
    fn begin(&mut self, call: CallId, ctx: &mut Context<'_>) {
        let Some(open_call) = self.calls.get_mut(&call) else {
            return;
        };
        if std::mem::replace(&mut open_call.has_begun, true) {
            return;
        }
        let buffered = std::mem::take(&mut open_call.buffered);
        let Some(State::Running(request)) = &open_call.state else {
            return;
        };
        let stage = request.stage();
        let pinned = stage.origin.pinned();
        open_call.capture.begin(stage.attempt.content_type.clone());
        ctx.out.act(Action::Begin {
            call,
            status: stage.attempt.status.unwrap_or(200),
            content_type: stage.attempt.content_type.clone(),
            session: pinned.session.clone(),
            version: pinned.plan.version().cloned(),
        });
        for bytes in buffered {
            ctx.out.act(Action::Deliver { call, bytes });
        }
    }

    fn complete(
        &mut self,
        call: CallId,
        attempt_id: AttemptId,
        usage: Usage,
        bill: Option<Bill>,
        ctx: &mut Context<'_>,
    ) {
        self.settle_hedge(call, attempt_id, ctx);
        let awaits_rating = self
            .running(call)
            .is_some_and(|request| request.stage().origin.pinned().plan.is_rated())
            && self.awaits_ratings;
        if !awaits_rating {
            self.begin(call, ctx);
        }
        let Some(open_call) = self.calls.get_mut(&call) else {
            return;
        };
        let Some(State::Running(request)) = open_call.state.take() else {
            return;
        };
        self.attempts.swap_remove(&attempt_id);
        let stage = request.stage();
        let lane = stage.origin.pinned().lane();
        let took = ctx
            .now
            .instant
            .saturating_duration_since(stage.attempt.sent_at);
        ctx.out.raise(Event::Answered { lane, took });
        if awaits_rating {
            return self.hold_for_rating(call, *request, usage, bill, ctx);
        }
        let request = request.answer(usage);
        self.rate_sample(call, &request, ctx);
        self.request_bill(call, request, bill, ctx);
    }

    pub(super) fn on_bill_safe(&mut self, call: CallId, ctx: &mut Context<'_>) {
        let Some(open_call) = self.calls.get_mut(&call) else {
            return;
        };
        let request = match open_call.state.take() {
            Some(State::Billing(request)) => request,
            other => {
                open_call.state = other;
                return;
            }
        };
        let usage = request.bill().stage().usage;
        ctx.explain(call, Step::new("finish", "answered"));
        self.remove(call, ctx);
        ctx.out.act(Action::Finish { call, usage });
    }
}
