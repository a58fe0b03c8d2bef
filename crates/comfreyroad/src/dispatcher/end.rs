//! Ends of calls other than a whole answer.

use std::rc::Rc;

use super::{Active, Dispatcher, Turn};
use crate::action::Action;
use crate::answer;
use crate::controller::trace::Step;
use crate::event::Event;
use crate::id::CallId;
use crate::note::{self, Note};
use crate::record::{Key, Outcome, Record, Stream};
use crate::refusal::{Code, Ran, Refusal};

impl Dispatcher {
    /// Ends a call without an answer, or breaks the answer off where it has begun.
    pub(super) fn refuse(&mut self, call: CallId, refusal: Refusal, turn: &mut Turn<'_>) {
        let Some(known) = self.calls.get(&call) else {
            return;
        };
        let (has_begun, claim) = (known.begun, known.claim.clone());
        if let Some(key) = claim {
            if refusal.was_sent() {
                Self::write_outcome(&key, call, Outcome::Unknown, turn);
            } else {
                let writer = turn.state.claims.writer(call);
                turn.out.raise(Event::ClaimReleased { key, writer });
            }
        }
        turn.out.note(
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
        turn.explain(call, step.with("code", refusal.code()).with("ran", ran));
        self.forget(call, turn);
        turn.out.act(if has_begun {
            Action::Abort(call)
        } else {
            Action::Refuse { call, refusal }
        });
    }

    /// Removes a call that is over.
    pub(super) fn forget(&mut self, call: CallId, turn: &mut Turn<'_>) {
        if self.calls.swap_remove(&call).is_some() {
            turn.out.raise(Event::CallEnded(call));
        }
    }

    /// Forgets a call's attempts and tells the upstreams to stop.
    pub(super) fn stop(&mut self, call: CallId, turn: &mut Turn<'_>) {
        let Some(request) = self.running(call) else {
            return;
        };
        let hedge = request.stage_mut().hedge.take();
        if let Some(hedge) = hedge {
            self.cancel(&hedge, turn);
        }
        let Some(known) = self.calls.get_mut(&call) else {
            return;
        };
        // Taken out and put back, as cancelling changes the other half of this state.
        let active = known.active.take();
        if let Some(Active::Running(request)) = &active {
            self.cancel(&request.stage().attempt, turn);
        }
        if let Some(known) = self.calls.get_mut(&call) {
            known.active = active;
        }
    }

    /// The caller has hung up: stops the work and bills what was delivered.
    ///
    /// What may run once at most goes on, so that the caller's next attempt gets its answer.
    pub(super) fn on_caller_gone(&mut self, call: CallId, turn: &mut Turn<'_>) {
        let runs_once = self
            .running(call)
            .is_some_and(|request| !request.is_idempotent());
        if runs_once {
            return;
        }
        self.stop(call, turn);
        let Some(known) = self.calls.get_mut(&call) else {
            return;
        };
        let (active, claim, begun) = (known.active.take(), known.claim.take(), known.begun);
        match active {
            Some(Active::Running(request)) => {
                let stage = request.stage();
                if begun && stage.delivered > 0 {
                    let pinned = stage.origin.pinned();
                    let view = turn.view();
                    let bill = answer::bill(pinned, request.head(), stage.delivered, &view);
                    turn.out.raise(Event::BillWanted { call, bill });
                }
            }
            Some(Active::Claiming(_) | Active::Queued(_)) => {
                if let Some(key) = claim {
                    turn.out.raise(Event::ClaimReleased {
                        key,
                        writer: turn.state.claims.writer(call),
                    });
                }
            }
            Some(Active::Retrying(request)) if begun => {
                let stage = request.stage();
                let (pinned, head) = (&stage.claimed.pinned, request.head());
                let bill = answer::bill(pinned, head, stage.delivered, &turn.view());
                turn.out.raise(Event::BillWanted { call, bill });
            }
            _ => {}
        }
        turn.explain(call, Step::new("caller", "gone"));
        self.forget(call, turn);
        turn.out.raise(Event::CapacityFreed);
    }

    /// Ends all calls that are open, and lists them on the log.
    pub(super) fn cut_off(&mut self, turn: &mut Turn<'_>) {
        let open: Vec<CallId> = self.calls.keys().copied().collect();
        let mut cut = Vec::new();
        for call in open {
            let active = self
                .calls
                .get(&call)
                .and_then(|known| known.active.as_ref());
            let Some(active) = active else { continue };
            let is_unsent = matches!(active, Active::Claiming(_) | Active::Queued(_));
            let is_billing = matches!(active, Active::Billing(_));
            let key = active.key();
            if is_billing {
                // The answer is whole, and its bill is on its way.
                self.on_bill_safe(call, turn);
                continue;
            }
            cut.push(key);
            if is_unsent {
                self.give_back(call, turn);
                continue;
            }
            self.stop(call, turn);
            self.refuse(call, Refusal::maybe(Code::NotReady, "drain"), turn);
        }
        if !cut.is_empty() {
            turn.out
                .note(Note::new(&note::REQUESTS_CUT).with("requests", cut.len()));
        }
        let writer = turn.state.claims.writer(0);
        turn.out.raise(Event::Write {
            stream: Stream::Rules,
            record: Rc::new(Record::Gone { writer, cut }),
        });
    }

    /// Refuses a call that no upstream has seen.
    fn give_back(&mut self, call: CallId, turn: &mut Turn<'_>) {
        let active = self
            .calls
            .get_mut(&call)
            .and_then(|known| known.active.take());
        let refusal = match active {
            Some(Active::Claiming(request)) => Refusal::not_run(&request, Code::NotReady),
            Some(Active::Queued(request)) => Refusal::not_run(&request, Code::NotReady),
            _ => return,
        };
        self.refuse(call, refusal, turn);
    }

    /// Writes down what became of a claimed request.
    pub(super) fn write_outcome(key: &Key, call: CallId, outcome: Outcome, turn: &mut Turn<'_>) {
        let writer = turn.state.claims.writer(call);
        let record = Record::Settle {
            key: key.clone(),
            writer,
            outcome,
        };
        turn.out.raise(Event::Write {
            stream: Stream::Claims,
            record: Rc::new(record),
        });
    }
}
