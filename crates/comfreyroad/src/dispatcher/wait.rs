//! Waiting calls and deadlines.

use std::time::Duration;

use super::{Call, Context, Dispatcher, State};
use crate::controller::queue::Ticket;
use crate::event::Event;
use crate::filter::{admit, chain};
use crate::id::{CallId, LaneId};
use crate::note::{self, Note};
use crate::record::Key;
use crate::refusal::{Code, Refusal};

impl Dispatcher {
    pub(super) fn resume_claim(&mut self, key: &Key, ctx: &mut Context<'_>) {
        let has_claim =
            |(id, call): (&CallId, &Call)| (call.claim.as_ref() == Some(key)).then_some(*id);
        let calls: Vec<CallId> = self.calls.iter().filter_map(has_claim).collect();
        for call in calls {
            self.resume(call, ctx);
        }
    }

    /// Runs the chain again for every waiting call.
    pub(super) fn resume_all(&mut self, ctx: &mut Context<'_>) {
        let is_claiming = |(id, call): (&CallId, &Call)| {
            matches!(call.state, Some(State::Claiming(_))).then_some(*id)
        };
        let claiming: Vec<CallId> = self.calls.iter().filter_map(is_claiming).collect();
        for call in claiming {
            self.resume(call, ctx);
        }
        let queue = &ctx.state.queue;
        for lane in queue.lanes() {
            for ticket in queue.waiting_in(lane) {
                self.resume(ticket.call, ctx);
            }
        }
    }

    /// Gives slots to queued calls, in the order of each lane, until a lane has no free slot.
    pub(super) fn resume_queued(&mut self, ctx: &mut Context<'_>) {
        let queue = &ctx.state.queue;
        for lane in queue.lanes() {
            for ticket in queue.waiting_in(lane) {
                self.resume(ticket.call, ctx);
                if self.is_waiting(ticket.call) {
                    break;
                }
            }
        }
    }

    fn is_waiting(&self, call: CallId) -> bool {
        let state = self
            .calls
            .get(&call)
            .and_then(|open_call| open_call.state.as_ref());
        matches!(state, Some(State::Queued(_) | State::Retrying(_)))
    }

    fn resume(&mut self, call: CallId, ctx: &mut Context<'_>) {
        let Some(open_call) = self.calls.get_mut(&call) else {
            return;
        };
        let result = match open_call.state.take() {
            Some(State::Claiming(request)) => chain::claim(*request, &ctx.view()),
            Some(State::Queued(request)) => chain::place(*request, &ctx.view()),
            Some(State::Retrying(request)) => chain::retry(*request, &ctx.view()),
            other => {
                open_call.state = other;
                return;
            }
        };
        self.dispatch(call, result, ctx);
    }

    pub(super) fn on_tick(&mut self, ctx: &mut Context<'_>) {
        self.expire_overdue(ctx);
        self.resume_all(ctx);
        self.shed_missing_deadline(ctx);
        self.hedge_late(ctx);
        let left = self.calls.len() + ctx.state.ledger.pending() + ctx.state.appends.pending();
        ctx.out.raise(Event::Unfinished(left));
    }

    /// Cancels and refuses the running calls that have passed their deadline.
    fn expire_overdue(&mut self, ctx: &mut Context<'_>) {
        let is_overdue = |call: &Call| match &call.state {
            Some(State::Running(request)) => request.head().deadline <= ctx.now.instant,
            _ => false,
        };
        let overdue: Vec<CallId> = self
            .calls
            .iter()
            .filter(|(_, call)| is_overdue(call))
            .map(|(id, _)| *id)
            .collect();
        for call in overdue {
            self.cancel_attempts(call, ctx);
            self.refuse(call, Refusal::maybe(Code::Deadline, "send"), ctx);
            ctx.out.raise(Event::CapacityFreed);
        }
    }

    /// Refuses the queued calls that can no longer meet their deadline.
    fn shed_missing_deadline(&mut self, ctx: &mut Context<'_>) {
        if !ctx.state.limits.is_shedding_enabled() {
            return;
        }
        let (state, now) = (ctx.state, ctx.now.instant);
        let lanes: Vec<&LaneId> = state.queue.lanes().collect();
        for lane in lanes {
            let duration = state.latencies.mean_total(lane).unwrap_or_default();
            let too_late: Vec<(CallId, Duration)> =
                state.queue.missing_deadline(lane, now, duration).collect();
            for (call, wait) in too_late {
                self.shed(call, wait, ctx);
            }
        }
    }

    /// Evicts the queued call with the lowest precedence if a new call exceeds the limit.
    pub(super) fn evict_for(&mut self, ticket: &Ticket, ctx: &mut Context<'_>) {
        if !ctx.state.limits.is_exceeded(ticket.class) {
            return;
        }
        if let Some(worst) = ctx.state.queue.eviction_candidate(ticket) {
            self.shed(worst, Duration::ZERO, ctx);
        }
    }

    fn shed(&mut self, call: CallId, wait: Duration, ctx: &mut Context<'_>) {
        let Some(open_call) = self.calls.get_mut(&call) else {
            return;
        };
        let refusal = match open_call.state.take() {
            Some(State::Queued(request)) => admit::overloaded(&request, wait),
            other => {
                open_call.state = other;
                return;
            }
        };
        ctx.out
            .note(Note::new(&note::REQUEST_SHED).with("call", call));
        self.refuse(call, refusal, ctx);
    }
}
