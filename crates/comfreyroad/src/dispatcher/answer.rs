//! Answers on their way back: matched to their attempt, put in order, billed.

use std::sync::Arc;

use super::{Active, Dispatcher, Turn};
use crate::action::Action;
use crate::event::{Event, Failure, Signal, Unwritten};
use crate::filter::chain;
use crate::id::{AttemptId, AttemptTag, CallId};
use crate::note::{self, Note};
use crate::record::{Bill, Key};
use crate::refusal::{Code, Refusal};
use crate::request::{Pinned, Request, Returned, Sent, Target, Usage};

/// HTTP status by which an upstream says that it takes no more for now.
const BUSY: u16 = 503;

impl Dispatcher {
    pub(super) fn on_signal(&mut self, attempt: AttemptId, signal: Signal, turn: &mut Turn<'_>) {
        // An attempt that was given up is not known any more, and what comes of it is late.
        let Some(call) = self.attempts.get(&attempt).copied() else {
            return;
        };
        if self.is_crossed(call, &signal) {
            turn.out.note(
                Note::new(&note::CROSSED)
                    .with("call", call)
                    .with("attempt", attempt),
            );
            return self.fail(call, None, turn);
        }
        match signal {
            Signal::Head {
                status,
                content_type,
                ..
            } => self.on_head(call, status, content_type, turn),
            Signal::Piece {
                offset,
                length,
                bytes,
                ..
            } => self.on_piece(call, offset, length, bytes, turn),
            Signal::End { usage } => self.on_end(call, usage, turn),
            Signal::Failed(Failure { unwritten, .. }) => self.fail(call, unwritten, turn),
        }
    }

    fn running(&mut self, call: CallId) -> Option<&mut Request<Sent>> {
        match &mut self.calls.get_mut(&call)?.active {
            Some(Active::Running(request)) => Some(request),
            _ => None,
        }
    }

    /// Whether an answer names another attempt than the one that it came for.
    fn is_crossed(&mut self, call: CallId, signal: &Signal) -> bool {
        let named: Option<&AttemptTag> = match signal {
            Signal::Head { tag, .. } | Signal::Piece { tag, .. } => tag.as_ref(),
            Signal::End { .. } | Signal::Failed(_) => None,
        };
        let Some(named) = named else { return false };
        self.running(call)
            .is_some_and(|request| request.stage().tag != *named)
    }

    fn on_head(
        &mut self,
        call: CallId,
        status: u16,
        content_type: Option<Arc<str>>,
        turn: &mut Turn<'_>,
    ) {
        let Some(request) = self.running(call) else {
            return;
        };
        let is_chat = matches!(request.head().target, Target::Chat(_));
        let try_elsewhere = if is_chat {
            status != 200
        } else {
            status == BUSY && Self::may_repeat(request)
        };
        if try_elsewhere {
            return self.fail(call, None, turn);
        }
        let Some(request) = self.running(call) else {
            return;
        };
        request.set_status(status);
        let pinned = request.stage().placed.origin.pinned();
        let (session, version) = (pinned.session.clone(), pinned.plan.version().cloned());
        let Some(known) = self.calls.get_mut(&call) else {
            return;
        };
        known.kept.begin(content_type.clone());
        if !std::mem::replace(&mut known.begun, true) {
            turn.out.act(Action::Begin {
                call,
                status,
                content_type,
                session,
                version,
            });
        }
    }

    /// Passes a part on if it is the next one; drops what the caller has; fails where something is missing.
    fn on_piece(
        &mut self,
        call: CallId,
        offset: u64,
        length: u64,
        bytes: Arc<[u8]>,
        turn: &mut Turn<'_>,
    ) {
        let Some(request) = self.running(call) else {
            return;
        };
        let delivered = request.stage().placed.delivered;
        if offset + length <= delivered && length > 0 {
            return;
        }
        if offset != delivered {
            return self.fail(call, None, turn);
        }
        request.advance(offset + length);
        if let Some(known) = self.calls.get_mut(&call)
            && known.claim.is_some()
        {
            known.kept.push(&bytes);
        }
        turn.out.act(Action::Deliver { call, bytes });
    }

    fn on_end(&mut self, call: CallId, usage: Usage, turn: &mut Turn<'_>) {
        let Some(known) = self.calls.get_mut(&call) else {
            return;
        };
        let Some(Active::Running(request)) = known.active.take() else {
            return;
        };
        self.attempts.swap_remove(&request.stage().attempt);
        let request = request.answer(usage);
        if let Some(key) = known.claim.clone() {
            let outcome = std::mem::take(&mut known.kept).outcome(request.stage().status);
            Self::write_outcome(&key, call, outcome, turn);
        }
        let stage = request.stage();
        let bill = Self::bill(&stage.pinned, request.head(), stage.delivered, turn);
        // The upstream failed in a way that it could still tell, so there is nothing to pay for.
        let is_free = stage.status >= 500;
        turn.out.raise(if is_free {
            Event::BillSafe(call)
        } else {
            Event::BillWanted { call, bill }
        });
        turn.out.raise(Event::Room);
        if let Some(known) = self.calls.get_mut(&call) {
            known.active = Some(Active::Billing(Box::new(request)));
        }
    }

    /// A bill for the tokens that the caller has got.
    pub(super) fn bill(
        pinned: &Pinned,
        head: &crate::request::Head,
        delivered: u64,
        turn: &Turn<'_>,
    ) -> Bill {
        let key = Key {
            customer: pinned.allowed.customer.clone(),
            request: head.id.clone(),
        };
        let version = pinned.plan.version().cloned();
        let tokens = match &head.target {
            Target::Chat(chat) => delivered + u64::from(chat.prompt_tokens),
            Target::Service(_) => 0,
        };
        let in_force = turn.state.rules.in_force();
        let rule = version
            .as_ref()
            .and_then(|id| in_force?.rules.versions.get(id));
        let cost = rule.map_or(0, |version| version.cost * tokens / 1000);
        Bill {
            key,
            version,
            tokens,
            cost,
        }
    }

    pub(super) fn on_bill_safe(&mut self, call: CallId, turn: &mut Turn<'_>) {
        let Some(known) = self.calls.get_mut(&call) else {
            return;
        };
        let Some(Active::Billing(request)) = known.active.take() else {
            return;
        };
        let usage = request.bill().stage().usage;
        self.calls.swap_remove(&call);
        turn.out.act(Action::Finish { call, usage });
    }

    /// An attempt has failed: sends the request again where that is allowed.
    fn fail(&mut self, call: CallId, unwritten: Option<Unwritten>, turn: &mut Turn<'_>) {
        self.stop(call, turn);
        let Some(known) = self.calls.get_mut(&call) else {
            return;
        };
        let Some(Active::Running(request)) = known.active.take() else {
            return;
        };
        turn.out.raise(Event::Room);
        let returned = match unwritten {
            Some(proof) => Ok(request.withdraw(proof)),
            None => request.retry().map(Returned::Retrying),
        };
        match returned {
            Ok(Returned::Unsent(request)) => {
                let result = chain::place(request, &turn.view());
                self.settle(call, result, turn);
            }
            Ok(Returned::Retrying(request)) => {
                turn.out.note(
                    Note::new(&note::RETRIED)
                        .with("call", call)
                        .with("sendings", request.stage().sendings),
                );
                let result = chain::retry(request, &turn.view());
                self.settle(call, result, turn);
            }
            Err(_) => {
                self.refuse(call, Refusal::maybe(Code::UpstreamFailed, "send"), turn);
            }
        }
    }

    /// Forgets a call's attempt and tells the upstream to stop.
    pub(super) fn stop(&mut self, call: CallId, turn: &mut Turn<'_>) {
        let Some(request) = self.running(call) else {
            return;
        };
        let stage = request.stage();
        let (attempt, tag, address) = (
            stage.attempt,
            stage.tag.clone(),
            stage.placed.slot.address.clone(),
        );
        self.attempts.swap_remove(&attempt);
        turn.out.act(Action::Cancel {
            attempt,
            tag,
            address,
        });
    }

    /// The caller has hung up: stops the work and bills what was delivered.
    ///
    /// What may run once at most goes on, so that the caller's next attempt gets its answer.
    pub(super) fn on_caller_gone(&mut self, call: CallId, turn: &mut Turn<'_>) {
        let runs_once = self
            .running(call)
            .is_some_and(|request| !Self::may_repeat(request));
        if runs_once {
            return;
        }
        self.stop(call, turn);
        let Some(known) = self.calls.swap_remove(&call) else {
            return;
        };
        match known.active {
            Some(Active::Running(request)) => {
                let placed = &request.stage().placed;
                if placed.delivered > 0 {
                    let bill = Self::bill(
                        placed.origin.pinned(),
                        request.head(),
                        placed.delivered,
                        turn,
                    );
                    turn.out.raise(Event::BillWanted { call, bill });
                }
            }
            Some(Active::Claiming(_) | Active::Queued(_)) => {
                if let Some(key) = known.claim {
                    turn.out.raise(Event::ClaimReleased {
                        key,
                        writer: turn.state.claims.writer(call),
                    });
                }
            }
            _ => {}
        }
        turn.out.raise(Event::Room);
    }
}
