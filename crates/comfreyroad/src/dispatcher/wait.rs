//! Calls that wait, and time that passes.

use std::time::Duration;

use super::{Active, Call, Dispatcher, Turn};
use crate::controller::queue::Ticket;
use crate::event::Event;
use crate::filter::{admit, chain};
use crate::id::{CallId, LaneId};
use crate::note::{self, Note};
use crate::record::Key;
use crate::refusal::{Code, Refusal};

impl Dispatcher {
    pub(super) fn resume_claim(&mut self, key: &Key, turn: &mut Turn<'_>) {
        let has_it =
            |(id, call): (&CallId, &Call)| (call.claim.as_ref() == Some(key)).then_some(*id);
        let calls: Vec<CallId> = self.calls.iter().filter_map(has_it).collect();
        for call in calls {
            self.resume(call, turn);
        }
    }

    /// Asks the chain again for each call that waits for whatever reason.
    pub(super) fn resume_all(&mut self, turn: &mut Turn<'_>) {
        let is_claiming = |(id, call): (&CallId, &Call)| {
            matches!(call.active, Some(Active::Claiming(_))).then_some(*id)
        };
        let claiming: Vec<CallId> = self.calls.iter().filter_map(is_claiming).collect();
        for call in claiming {
            self.resume(call, turn);
        }
        let queue = &turn.state.queue;
        for lane in queue.lanes() {
            for ticket in queue.waiting_in(lane) {
                self.resume(ticket.call, turn);
            }
        }
    }

    /// Gives slots to the calls that wait, each lane's first one first, until a lane has no more.
    pub(super) fn resume_lines(&mut self, turn: &mut Turn<'_>) {
        let queue = &turn.state.queue;
        for lane in queue.lanes() {
            for ticket in queue.waiting_in(lane) {
                self.resume(ticket.call, turn);
                if self.is_waiting(ticket.call) {
                    break;
                }
            }
        }
    }

    fn is_waiting(&self, call: CallId) -> bool {
        let active = self
            .calls
            .get(&call)
            .and_then(|known| known.active.as_ref());
        matches!(active, Some(Active::Queued(_) | Active::Retrying(_)))
    }

    fn resume(&mut self, call: CallId, turn: &mut Turn<'_>) {
        let Some(known) = self.calls.get_mut(&call) else {
            return;
        };
        let result = match known.active.take() {
            Some(Active::Claiming(request)) => chain::claim(*request, &turn.view()),
            Some(Active::Queued(request)) => chain::place(*request, &turn.view()),
            Some(Active::Retrying(request)) => chain::retry(*request, &turn.view()),
            other => {
                known.active = other;
                return;
            }
        };
        self.settle(call, result, turn);
    }

    pub(super) fn on_tick(&mut self, turn: &mut Turn<'_>) {
        self.end_overdue(turn);
        self.resume_all(turn);
        self.shed_hopeless(turn);
        self.hedge_late(turn);
        let left = self.calls.len() + turn.state.ledger.pending() + turn.state.appends.pending();
        turn.out.raise(Event::Unfinished(left));
    }

    /// Stops what runs past its deadline.
    fn end_overdue(&mut self, turn: &mut Turn<'_>) {
        let is_overdue = |call: &Call| match &call.active {
            Some(Active::Running(request)) => request.head().deadline <= turn.now.instant,
            _ => false,
        };
        let overdue: Vec<CallId> = self
            .calls
            .iter()
            .filter(|(_, call)| is_overdue(call))
            .map(|(id, _)| *id)
            .collect();
        for call in overdue {
            self.stop(call, turn);
            self.refuse(call, Refusal::maybe(Code::Deadline, "send"), turn);
            turn.out.raise(Event::CapacityFreed);
        }
    }

    /// Refuses what waits but could no longer make its deadline.
    fn shed_hopeless(&mut self, turn: &mut Turn<'_>) {
        if !turn.state.limits.is_shedding_enabled() {
            return;
        }
        let (state, now) = (turn.state, turn.now.instant);
        let lanes: Vec<&LaneId> = state.queue.lanes().collect();
        for lane in lanes {
            let takes = state.latencies.mean_total(lane).unwrap_or_default();
            let hopeless: Vec<(CallId, Duration)> =
                state.queue.missing_deadline(lane, now, takes).collect();
            for (call, wait) in hopeless {
                self.shed(call, wait, turn);
            }
        }
    }

    /// Refuses the call with the least right to room, where a newcomer leaves too little.
    pub(super) fn make_room(&mut self, ticket: &Ticket, turn: &mut Turn<'_>) {
        if !turn.state.limits.is_exceeded(ticket.class) {
            return;
        }
        if let Some(worst) = turn.state.queue.eviction_candidate(ticket) {
            self.shed(worst, Duration::ZERO, turn);
        }
    }

    fn shed(&mut self, call: CallId, wait: Duration, turn: &mut Turn<'_>) {
        let Some(known) = self.calls.get_mut(&call) else {
            return;
        };
        let refusal = match known.active.take() {
            Some(Active::Queued(request)) => admit::overloaded(&request, wait),
            other => {
                known.active = other;
                return;
            }
        };
        turn.out
            .note(Note::new(&note::REQUEST_SHED).with("call", call));
        self.refuse(call, refusal, turn);
    }
}
