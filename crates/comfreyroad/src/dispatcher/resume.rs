//! Calls that wait, and time that passes.

use super::{Active, Call, Dispatcher, Turn};
use crate::event::Event;
use crate::filter::chain;
use crate::id::CallId;
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

    /// Asks the chain again for each call that waits, in order of arrival.
    pub(super) fn resume_all(&mut self, turn: &mut Turn<'_>) {
        let waits = |(id, call): (&CallId, &Call)| call.is_waiting().then_some(*id);
        let calls: Vec<CallId> = self.calls.iter().filter_map(waits).collect();
        for call in calls {
            self.resume(call, turn);
        }
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
        self.resume_all(turn);
        self.end_overdue(turn);
        let left = self.calls.len() + turn.state.ledger.pending() + turn.state.appends.pending();
        turn.out.raise(Event::CallsLeft(left));
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
        }
    }
}

impl Call {
    fn is_waiting(&self) -> bool {
        matches!(
            self.active,
            Some(Active::Claiming(_) | Active::Queued(_) | Active::Retrying(_))
        )
    }
}
