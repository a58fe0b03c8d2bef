//! Calls that end without a complete answer.

use std::rc::Rc;

use super::{Context, Dispatcher, State};
use crate::action::Action;
use crate::answer;
use crate::controller::trace::Step;
use crate::event::Event;
use crate::id::CallId;
use crate::note::{self, Note};
use crate::record::{Key, Outcome, Record, Stream};
use crate::refusal::{Code, Ran, Refusal};

impl Dispatcher {
    /// Refuses a call, or breaks off its answer if that has begun.
    pub(super) fn refuse(&mut self, call: CallId, refusal: Refusal, ctx: &mut Context<'_>) {
        let Some(open_call) = self.calls.get(&call) else {
            return;
        };
        let (has_begun, claim) = (open_call.has_begun, open_call.claim.clone());
        if let Some(key) = claim {
            if refusal.was_sent() {
                Self::write_outcome(&key, call, Outcome::Unknown, ctx);
            } else {
                let writer = ctx.state.claims.writer(call);
                ctx.out.raise(Event::ClaimReleased { key, writer });
            }
        }
        ctx.out.note(
            Note::new(&note::REQUEST_REFUSED)
                .with("call", call)
                .with("why", &refusal),
        );
        let word = if has_begun { "broken off" } else { "refused" };
        let ran = if refusal.ran() == Ran::No {
            "no"
        } else {
            "maybe"
        };
        let step = Step::new(refusal.step(), word);
        ctx.explain(call, step.with("code", refusal.code()).with("ran", ran));
        self.remove(call, ctx);
        ctx.out.act(if has_begun {
            Action::Abort(call)
        } else {
            Action::Refuse { call, refusal }
        });
    }

    /// Removes a call that has ended.
    pub(super) fn remove(&mut self, call: CallId, ctx: &mut Context<'_>) {
        if self.calls.swap_remove(&call).is_some() {
            ctx.out.raise(Event::CallEnded(call));
        }
    }

    /// Cancels all attempts of a call.
    pub(super) fn cancel_attempts(&mut self, call: CallId, ctx: &mut Context<'_>) {
        let Some(request) = self.running(call) else {
            return;
        };
        let hedge = request.stage_mut().hedge.take();
        if let Some(hedge) = hedge {
            self.cancel(&hedge, ctx);
        }
        let Some(open_call) = self.calls.get_mut(&call) else {
            return;
        };
        // The state is taken out meanwhile, because `cancel` borrows the whole dispatcher.
        let state = open_call.state.take();
        if let Some(State::Running(request)) = &state {
            self.cancel(&request.stage().attempt, ctx);
        }
        if let Some(open_call) = self.calls.get_mut(&call) {
            open_call.state = state;
        }
    }

    /// Cancels a call whose caller has disconnected, and bills what was delivered.
    ///
    /// A request that may run at most once continues, so that the next attempt of the caller gets its answer.
    pub(super) fn on_caller_gone(&mut self, call: CallId, ctx: &mut Context<'_>) {
        let runs_once = self
            .running(call)
            .is_some_and(|request| !request.is_idempotent());
        if runs_once {
            return;
        }
        self.cancel_attempts(call, ctx);
        let Some(open_call) = self.calls.get_mut(&call) else {
            return;
        };
        let (state, claim, has_begun) = (
            open_call.state.take(),
            open_call.claim.take(),
            open_call.has_begun,
        );
        match state {
            Some(State::Running(request)) => {
                let stage = request.stage();
                if has_begun && stage.delivered > 0 {
                    let pinned = stage.origin.pinned();
                    let view = ctx.view();
                    let bill = answer::bill(pinned, request.head(), stage.delivered, &view);
                    ctx.out.raise(Event::BillWanted { call, bill });
                }
            }
            Some(State::Claiming(_) | State::Queued(_)) => {
                if let Some(key) = claim {
                    ctx.out.raise(Event::ClaimReleased {
                        key,
                        writer: ctx.state.claims.writer(call),
                    });
                }
            }
            Some(State::Retrying(request)) if has_begun => {
                let stage = request.stage();
                let (pinned, head) = (&stage.claimed.pinned, request.head());
                let bill = answer::bill(pinned, head, stage.delivered, &ctx.view());
                ctx.out.raise(Event::BillWanted { call, bill });
            }
            _ => {}
        }
        ctx.explain(call, Step::new("caller", "gone"));
        self.remove(call, ctx);
        ctx.out.raise(Event::CapacityFreed);
    }

    /// Ends all open calls, and lists those that were cut on the log.
    pub(super) fn cut_off(&mut self, ctx: &mut Context<'_>) {
        let open: Vec<CallId> = self.calls.keys().copied().collect();
        let mut cut = Vec::new();
        for call in open {
            let state = self
                .calls
                .get(&call)
                .and_then(|open_call| open_call.state.as_ref());
            let Some(state) = state else { continue };
            let is_unsent = matches!(state, State::Claiming(_) | State::Queued(_));
            let is_billing = matches!(state, State::Billing(_));
            let key = state.key();
            if is_billing {
                // The answer is complete, and its bill has been requested.
                self.on_bill_safe(call, ctx);
                continue;
            }
            cut.push(key);
            if is_unsent {
                self.refuse_unsent(call, ctx);
                continue;
            }
            self.cancel_attempts(call, ctx);
            self.refuse(call, Refusal::maybe(Code::NotReady, "drain"), ctx);
        }
        if !cut.is_empty() {
            ctx.out
                .note(Note::new(&note::REQUESTS_CUT).with("requests", cut.len()));
        }
        let writer = ctx.state.claims.writer(0);
        ctx.out.raise(Event::Write {
            stream: Stream::Rules,
            record: Rc::new(Record::Gone { writer, cut }),
        });
    }

    /// Refuses a call that no upstream has seen.
    fn refuse_unsent(&mut self, call: CallId, ctx: &mut Context<'_>) {
        let state = self
            .calls
            .get_mut(&call)
            .and_then(|open_call| open_call.state.take());
        let refusal = match state {
            Some(State::Claiming(request)) => Refusal::not_run(&request, Code::NotReady),
            Some(State::Queued(request)) => Refusal::not_run(&request, Code::NotReady),
            _ => return,
        };
        self.refuse(call, refusal, ctx);
    }

    /// Writes the outcome of a claimed request to the log.
    pub(super) fn write_outcome(key: &Key, call: CallId, outcome: Outcome, ctx: &mut Context<'_>) {
        let writer = ctx.state.claims.writer(call);
        let record = Record::Settle {
            key: key.clone(),
            writer,
            outcome,
        };
        ctx.out.raise(Event::Write {
            stream: Stream::Claims,
            record: Rc::new(record),
        });
    }
}
