//! Answers that are rated: those of a chain's versions before their caller gets them, and a sample of the others.
//!
//! An answer of a chain is held back until it is rated. A good one is delivered; else it is dropped and the next version
//! answers, and where no rating comes the last one does. Both runs cost the venture, and the caller is billed once, for
//! what was delivered.

use std::sync::Arc;

use super::{Active, Dispatcher, Turn};
use crate::action::Action;
use crate::controller::trace::Step;
use crate::event::Event;
use crate::filter::chain;
use crate::id::CallId;
use crate::note::{self, Note};
use crate::quality::Subject;
use crate::record::Bill;
use crate::request::{Answered, Pinned, Request, Sent, Target, Unrated, Usage};

/// Longest answer that is rated, in bytes.
pub(super) const RATED_BYTES: usize = 64 * 1024;
/// Answers of which a copy is kept as a sample, at once.
const COPIES: usize = 16;

impl Dispatcher {
    /// Keeps a copy of a part of an answer that may be rated as a sample.
    pub(super) fn copy(&mut self, call: CallId, bytes: &[u8], turn: &Turn<'_>) {
        let has_copy = |known: &super::Call| known.copy.is_some();
        let may_begin = || {
            turn.state.quality.wants_sample(turn.now.instant)
                && self.calls.values().filter(|known| has_copy(known)).count() < COPIES
        };
        let begins = self.calls.get(&call).is_some_and(|known| !known.begun) && may_begin();
        let Some(known) = self.calls.get_mut(&call) else {
            return;
        };
        if begins && known.copy.is_none() {
            known.copy = Some(Vec::new());
        }
        if let Some(copy) = &mut known.copy {
            copy.extend_from_slice(bytes);
        }
        known.copy.take_if(|copy| copy.len() > RATED_BYTES);
    }

    /// Has an answer rated that its caller has got.
    pub(super) fn rate_sample(
        &mut self,
        call: CallId,
        request: &Request<Answered>,
        turn: &mut Turn<'_>,
    ) {
        let copy = self
            .calls
            .get_mut(&call)
            .and_then(|known| known.copy.take());
        let Some(copy) = copy else { return };
        if turn.state.quality.wants_sample(turn.now.instant) {
            let pinned = &request.stage().pinned;
            Self::rate(call, pinned, request.shared_head(), copy.into(), turn);
        }
    }

    fn rate(
        call: CallId,
        pinned: &Pinned,
        head: std::rc::Rc<crate::request::Head>,
        answer: Arc<[u8]>,
        turn: &mut Turn<'_>,
    ) {
        let Some(version) = pinned.plan.version().cloned() else {
            return;
        };
        let route = pinned.allowed.route.clone();
        let subject = Subject {
            route: route.clone(),
            version: version.clone(),
            is_escalated: pinned.plan.index > 0,
        };
        turn.out.raise(Event::RatingAsked { call, subject });
        turn.out.act(Action::Rate {
            call,
            version,
            route,
            head,
            answer,
        });
    }

    /// The answer of a chain's version is whole: its rating decides.
    pub(super) fn judge(
        &mut self,
        call: CallId,
        request: Request<Sent>,
        usage: Usage,
        bill: Option<Bill>,
        turn: &mut Turn<'_>,
    ) {
        let request = request.await_rating(usage, bill);
        let Some(known) = self.calls.get_mut(&call) else {
            return;
        };
        let is_short = known.held_bytes() <= RATED_BYTES;
        let answer: Arc<[u8]> = known.held.concat().into();
        let pinned = &request.stage().claimed.pinned;
        if is_short {
            turn.explain(call, Step::new("judge", "waits for its rating"));
            Self::rate(call, pinned, request.shared_head(), answer, turn);
        }
        known.active = Some(Active::Judging(Box::new(request)));
        turn.out.raise(Event::CapacityFreed);
        if !is_short {
            self.on_rated(call, None, turn);
        }
    }

    pub(super) fn on_rated(&mut self, call: CallId, good: Option<bool>, turn: &mut Turn<'_>) {
        let Some(known) = self.calls.get_mut(&call) else {
            return;
        };
        let request = match known.active.take() {
            Some(Active::Judging(request)) => request,
            other => {
                known.active = other;
                return;
            }
        };
        match good {
            Some(true) => self.accept(call, *request, turn),
            Some(false) => self.escalate(call, *request, false, turn),
            None => self.escalate(call, *request, true, turn),
        }
    }

    /// The answer was rated good: delivers it.
    fn accept(&mut self, call: CallId, request: Request<Unrated>, turn: &mut Turn<'_>) {
        let Some(known) = self.calls.get_mut(&call) else {
            return;
        };
        turn.explain(call, Step::new("judge", "good"));
        let stage = request.stage();
        let pinned = &stage.claimed.pinned;
        known.begun = true;
        turn.out.act(Action::Begin {
            call,
            status: stage.status,
            content_type: stage.content_type.clone(),
            session: pinned.session.clone(),
            version: pinned.plan.version().cloned(),
        });
        for bytes in std::mem::take(&mut known.held) {
            turn.out.act(Action::Deliver { call, bytes });
        }
        let bill = stage.bill.clone();
        self.settle_bill(call, request.accept(), bill, turn);
    }

    /// The answer was rated bad, or not at all: a later version answers.
    fn escalate(
        &mut self,
        call: CallId,
        request: Request<Unrated>,
        to_last: bool,
        turn: &mut Turn<'_>,
    ) {
        if let Some(known) = self.calls.get_mut(&call) {
            known.held.clear();
        }
        let pinned = &request.stage().claimed.pinned;
        let (versions, at) = (&pinned.plan.versions, pinned.plan.index);
        let last = versions.len().saturating_sub(1);
        let next = if to_last { last } else { (at + 1).min(last) };
        let Some(version) = versions.get(next).cloned() else {
            return;
        };
        let word = if to_last { "not rated" } else { "bad" };
        turn.explain(call, Step::new("judge", word).with("next", &version));
        let note = Note::new(&note::ANSWER_ESCALATED).with("call", call);
        turn.out
            .note(note.with("rated", !to_last).with("next", &version));
        let view = turn.view();
        let session = turn
            .state
            .sessions
            .new_token(&pinned.allowed, version, &view);
        let request = request.escalate(next, session);
        let result = chain::retry(request, &view);
        self.settle(call, result, turn);
    }

    /// Whether an answer can be rated at all.
    pub(super) fn is_ratable(request: &Request<Sent>) -> bool {
        matches!(request.head().target, Target::Chat(_))
    }

    /// Has the bill of an answer written that its caller has got.
    pub(super) fn settle_bill(
        &mut self,
        call: CallId,
        request: Request<Answered>,
        bill: Option<Bill>,
        turn: &mut Turn<'_>,
    ) {
        let Some(known) = self.calls.get_mut(&call) else {
            return;
        };
        let stage = request.stage();
        turn.explain(
            call,
            Step::new("answer", "whole")
                .with("status", stage.status)
                .with("length", stage.delivered),
        );
        if let Some(key) = known.claim.clone() {
            let outcome = std::mem::take(&mut known.kept).outcome(stage.status);
            Self::write_outcome(&key, call, outcome, turn);
        }
        let cost = bill.as_ref().map_or(0, |bill| bill.cost);
        turn.explain(call, Step::new("bill", "written").with("cost", cost));
        turn.out.raise(match bill {
            Some(bill) => Event::BillWanted { call, bill },
            None => Event::BillSafe(call),
        });
        turn.out.raise(Event::CapacityFreed);
        known.active = Some(Active::Billing(Box::new(request)));
    }
}
