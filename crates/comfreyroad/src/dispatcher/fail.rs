//! Handles failed attempts. The other attempt of a hedged pair continues, or the request is sent again if that is
//! allowed.

use super::{Context, Dispatcher, State};
use crate::answer::Fault;
use crate::controller::trace::Step;
use crate::event::Event;
use crate::filter::chain;
use crate::id::{AttemptId, CallId};
use crate::note::{self, Note};
use crate::refusal::{Code, Refusal};
use crate::request::{Request, Returned, Sent};

/// Time after which a caller is told to retry when the retry budget is spent.
const RETRY_AFTER: std::time::Duration = std::time::Duration::from_secs(1);

impl Dispatcher {
    pub(super) fn fail(
        &mut self,
        call: CallId,
        attempt_id: AttemptId,
        fault: &Fault,
        ctx: &mut Context<'_>,
    ) {
        Self::log_fault(call, attempt_id, fault, ctx);
        let Some(request) = self.running(call) else {
            return;
        };
        if let Some(attempt) = request.stage_mut().abandon(attempt_id) {
            self.drop_attempt(&attempt, fault, ctx);
            return;
        }
        let Some(open_call) = self.calls.get_mut(&call) else {
            return;
        };
        let Some(State::Running(mut request)) = open_call.state.take() else {
            return;
        };
        let has_begun = open_call.has_begun;
        if !has_begun {
            // The buffered parts are dropped, and the next attempt starts from the beginning.
            open_call.buffered.clear();
            request.stage_mut().delivered = 0;
        }
        self.drop_attempt(&request.stage().attempt, fault, ctx);
        self.send_again(call, *request, has_begun, fault, ctx);
    }

    fn log_fault(call: CallId, attempt_id: AttemptId, fault: &Fault, ctx: &mut Context<'_>) {
        ctx.explain(call, Step::new("answer", "failed").with("why", fault));
        let kind = match fault {
            Fault::Mismatch => &note::WRONG_ATTEMPT,
            Fault::Gap { .. } | Fault::Count { .. } => &note::ANSWER_INCOMPLETE,
            Fault::Late | Fault::Status(_) | Fault::Failed(_) => return,
        };
        let note = Note::new(kind)
            .with("call", call)
            .with("attempt", attempt_id);
        ctx.out.note(note.with("why", fault));
    }

    fn drop_attempt(
        &mut self,
        attempt: &crate::request::Attempt,
        fault: &Fault,
        ctx: &mut Context<'_>,
    ) {
        if fault.unwritten().is_some() {
            self.attempts.swap_remove(&attempt.id);
        } else {
            self.cancel(attempt, ctx);
        }
        ctx.out.raise(Event::CapacityFreed);
    }

    fn send_again(
        &mut self,
        call: CallId,
        request: Request<Sent>,
        has_begun: bool,
        fault: &Fault,
        ctx: &mut Context<'_>,
    ) {
        let is_chat = request.stage().origin.pinned().plan.version().is_some();
        let returned = match fault.unwritten() {
            Some(proof) => Ok(request.undo_send(proof)),
            // An answer of a plain service cannot be resumed.
            None if has_begun && !is_chat => Err(()),
            None => request.retry().map(Returned::Retrying).map_err(|_| ()),
        };
        match returned {
            Ok(Returned::Unsent(request)) => {
                let result = chain::place(request, &ctx.view());
                self.dispatch(call, result, ctx);
            }
            Ok(Returned::Retrying(_)) if !ctx.state.budgets.may_retry(has_begun) => {
                ctx.out
                    .note(Note::new(&note::RETRY_DENIED).with("call", call));
                let refusal = Refusal::maybe(Code::UpstreamFailed, "retry");
                self.refuse(call, refusal.with_retry_after(RETRY_AFTER), ctx);
            }
            Ok(Returned::Retrying(request)) => {
                let kind = if has_begun {
                    &note::ANSWER_RESUMED
                } else {
                    &note::REQUEST_RETRIED
                };
                ctx.out.note(
                    Note::new(kind)
                        .with("call", call)
                        .with("sendings", request.stage().attempts),
                );
                ctx.out.raise(Event::Retried);
                let result = chain::retry(request, &ctx.view());
                self.dispatch(call, result, ctx);
            }
            Err(()) => {
                self.refuse(call, Refusal::maybe(Code::UpstreamFailed, "send"), ctx);
            }
        }
    }
}
