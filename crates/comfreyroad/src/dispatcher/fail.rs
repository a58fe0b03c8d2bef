//! Attempts that fail: the other of two goes on, or the request is sent again where that is allowed.

use super::{Active, Dispatcher, Turn};
use crate::answer::Fault;
use crate::controller::trace::Step;
use crate::event::Event;
use crate::filter::chain;
use crate::id::{AttemptId, CallId};
use crate::note::{self, Note};
use crate::refusal::{Code, Refusal};
use crate::request::{Request, Returned, Sent};

/// Time after which a retry makes sense when the budget of retries is spent.
const RETRY_AFTER: std::time::Duration = std::time::Duration::from_secs(1);

impl Dispatcher {
    pub(super) fn fail(
        &mut self,
        call: CallId,
        attempt_id: AttemptId,
        fault: &Fault,
        turn: &mut Turn<'_>,
    ) {
        Self::tell_fault(call, attempt_id, fault, turn);
        let Some(request) = self.running(call) else {
            return;
        };
        if let Some(attempt) = request.stage_mut().abandon(attempt_id) {
            self.drop_sending(&attempt, fault, turn);
            return;
        }
        let Some(known) = self.calls.get_mut(&call) else {
            return;
        };
        let Some(Active::Running(mut request)) = known.active.take() else {
            return;
        };
        let has_begun = known.begun;
        if !has_begun {
            // What was held back is dropped, and the next answer starts anew.
            known.held.clear();
            request.stage_mut().delivered = 0;
        }
        self.drop_sending(&request.stage().attempt, fault, turn);
        self.send_again(call, *request, has_begun, fault, turn);
    }

    fn tell_fault(call: CallId, attempt_id: AttemptId, fault: &Fault, turn: &mut Turn<'_>) {
        turn.explain(call, Step::new("answer", "failed").with("why", fault));
        let kind = match fault {
            Fault::Crossed => &note::WRONG_ATTEMPT,
            Fault::Gap { .. } | Fault::Count { .. } => &note::ANSWER_INCOMPLETE,
            Fault::Late | Fault::Status(_) | Fault::Failed(_) => return,
        };
        let note = Note::new(kind)
            .with("call", call)
            .with("attempt", attempt_id);
        turn.out.note(note.with("why", fault));
    }

    fn drop_sending(
        &mut self,
        attempt: &crate::request::Attempt,
        fault: &Fault,
        turn: &mut Turn<'_>,
    ) {
        if fault.unwritten().is_some() {
            self.attempts.swap_remove(&attempt.id);
        } else {
            self.cancel(attempt, turn);
        }
        turn.out.raise(Event::CapacityFreed);
    }

    fn send_again(
        &mut self,
        call: CallId,
        request: Request<Sent>,
        has_begun: bool,
        fault: &Fault,
        turn: &mut Turn<'_>,
    ) {
        let is_chat = request.stage().origin.pinned().plan.version().is_some();
        let returned = match fault.unwritten() {
            Some(proof) => Ok(request.undo_send(proof)),
            // A plain service's answers cannot be spliced.
            None if has_begun && !is_chat => Err(()),
            None => request.retry().map(Returned::Retrying).map_err(|_| ()),
        };
        match returned {
            Ok(Returned::Unsent(request)) => {
                let result = chain::place(request, &turn.view());
                self.settle(call, result, turn);
            }
            Ok(Returned::Retrying(_)) if !turn.state.budgets.may_retry(has_begun) => {
                turn.out
                    .note(Note::new(&note::RETRY_DENIED).with("call", call));
                let refusal = Refusal::maybe(Code::UpstreamFailed, "retry");
                self.refuse(call, refusal.with_retry_after(RETRY_AFTER), turn);
            }
            Ok(Returned::Retrying(request)) => {
                let kind = if has_begun {
                    &note::ANSWER_RESUMED
                } else {
                    &note::REQUEST_RETRIED
                };
                turn.out.note(
                    Note::new(kind)
                        .with("call", call)
                        .with("sendings", request.stage().attempts),
                );
                turn.out.raise(Event::Retried);
                let result = chain::retry(request, &turn.view());
                self.settle(call, result, turn);
            }
            Err(()) => {
                self.refuse(call, Refusal::maybe(Code::UpstreamFailed, "send"), turn);
            }
        }
    }
}
