//! Rating of answers: those of a chain of versions before they are delivered, and a sample of the others.
//!
//! An answer within a chain is held back until it is rated. A good answer is delivered. A bad one is dropped, and the
//! next version answers. Without a rating, the last version answers. The venture pays for all runs, and the caller is
//! billed once, for the delivered answer.

use std::sync::Arc;

use super::{Context, Dispatcher, State};
use crate::action::Action;
use crate::controller::trace::Step;
use crate::event::Event;
use crate::filter::chain;
use crate::id::CallId;
use crate::note::{self, Note};
use crate::quality::Subject;
use crate::record::Bill;
use crate::request::{Answered, Pinned, Request, Sent, Target, Unrated, Usage};

/// Maximum length of an answer that is rated, in bytes.
pub(super) const MAX_RATED_BYTES: usize = 64 * 1024;
/// Maximum number of answers that are copied as samples at the same time.
const MAX_SAMPLES: usize = 16;

impl Dispatcher {
    /// Copies a part of an answer that may be rated as a sample.
    pub(super) fn copy_sample(&mut self, call: CallId, bytes: &[u8], ctx: &Context<'_>) {
        let has_sample = |open_call: &super::Call| open_call.sample.is_some();
        let may_begin = || {
            ctx.state.quality.wants_sample(ctx.now.instant)
                && self
                    .calls
                    .values()
                    .filter(|open_call| has_sample(open_call))
                    .count()
                    < MAX_SAMPLES
        };
        let begins = self
            .calls
            .get(&call)
            .is_some_and(|open_call| !open_call.has_begun)
            && may_begin();
        let Some(open_call) = self.calls.get_mut(&call) else {
            return;
        };
        if begins && open_call.sample.is_none() {
            open_call.sample = Some(Vec::new());
        }
        if let Some(copy) = &mut open_call.sample {
            copy.extend_from_slice(bytes);
        }
        open_call
            .sample
            .take_if(|copy| copy.len() > MAX_RATED_BYTES);
    }

    /// Sends a delivered answer to the rating service as a sample.
    pub(super) fn rate_sample(
        &mut self,
        call: CallId,
        request: &Request<Answered>,
        ctx: &mut Context<'_>,
    ) {
        let copy = self
            .calls
            .get_mut(&call)
            .and_then(|open_call| open_call.sample.take());
        let Some(copy) = copy else { return };
        if ctx.state.quality.wants_sample(ctx.now.instant) {
            let pinned = &request.stage().pinned;
            Self::rate(call, pinned, request.shared_head(), copy.into(), ctx);
        }
    }

    fn rate(
        call: CallId,
        pinned: &Pinned,
        head: std::rc::Rc<crate::request::Head>,
        answer: Arc<[u8]>,
        ctx: &mut Context<'_>,
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
        ctx.out.raise(Event::RatingAsked { call, subject });
        ctx.out.act(Action::Rate {
            call,
            version,
            route,
            head,
            answer,
        });
    }

    /// Holds a complete answer of a version of a chain back until it is rated.
    pub(super) fn hold_for_rating(
        &mut self,
        call: CallId,
        request: Request<Sent>,
        usage: Usage,
        bill: Option<Bill>,
        ctx: &mut Context<'_>,
    ) {
        let request = request.await_rating(usage, bill);
        let Some(open_call) = self.calls.get_mut(&call) else {
            return;
        };
        let is_short = open_call.buffered_bytes() <= MAX_RATED_BYTES;
        let answer: Arc<[u8]> = open_call.buffered.concat().into();
        let pinned = &request.stage().claimed.pinned;
        if is_short {
            ctx.explain(call, Step::new("judge", "waits for its rating"));
            Self::rate(call, pinned, request.shared_head(), answer, ctx);
        }
        open_call.state = Some(State::Rating(Box::new(request)));
        ctx.out.raise(Event::CapacityFreed);
        if !is_short {
            self.on_rated(call, None, ctx);
        }
    }

    pub(super) fn on_rated(&mut self, call: CallId, good: Option<bool>, ctx: &mut Context<'_>) {
        let Some(open_call) = self.calls.get_mut(&call) else {
            return;
        };
        let request = match open_call.state.take() {
            Some(State::Rating(request)) => request,
            other => {
                open_call.state = other;
                return;
            }
        };
        match good {
            Some(true) => self.accept(call, *request, ctx),
            Some(false) => self.escalate(call, *request, false, ctx),
            None => self.escalate(call, *request, true, ctx),
        }
    }

    /// Delivers an answer that was rated good.
    fn accept(&mut self, call: CallId, request: Request<Unrated>, ctx: &mut Context<'_>) {
        let Some(open_call) = self.calls.get_mut(&call) else {
            return;
        };
        ctx.explain(call, Step::new("judge", "good"));
        let stage = request.stage();
        let pinned = &stage.claimed.pinned;
        open_call.has_begun = true;
        ctx.out.act(Action::Begin {
            call,
            status: stage.status,
            content_type: stage.content_type.clone(),
            session: pinned.session.clone(),
            version: pinned.plan.version().cloned(),
        });
        for bytes in std::mem::take(&mut open_call.buffered) {
            ctx.out.act(Action::Deliver { call, bytes });
        }
        let bill = stage.bill.clone();
        self.request_bill(call, request.accept(), bill, ctx);
    }

    /// Drops an answer that was rated bad or not at all, and has a later version answer.
    fn escalate(
        &mut self,
        call: CallId,
        request: Request<Unrated>,
        to_last: bool,
        ctx: &mut Context<'_>,
    ) {
        if let Some(open_call) = self.calls.get_mut(&call) {
            open_call.buffered.clear();
        }
        let pinned = &request.stage().claimed.pinned;
        let (versions, index) = (&pinned.plan.versions, pinned.plan.index);
        let last = versions.len().saturating_sub(1);
        let next = if to_last { last } else { (index + 1).min(last) };
        let Some(version) = versions.get(next).cloned() else {
            return;
        };
        let word = if to_last { "not rated" } else { "bad" };
        ctx.explain(call, Step::new("judge", word).with("next", &version));
        let note = Note::new(&note::ANSWER_ESCALATED).with("call", call);
        ctx.out
            .note(note.with("rated", !to_last).with("next", &version));
        let view = ctx.view();
        let session = ctx
            .state
            .sessions
            .new_token(&pinned.allowed, version, &view);
        let request = request.escalate(next, session);
        let result = chain::retry(request, &view);
        self.dispatch(call, result, ctx);
    }

    /// Whether the answer to a request can be rated.
    pub(super) fn can_be_rated(request: &Request<Sent>) -> bool {
        matches!(request.head().target, Target::Chat(_))
    }

    /// Records the outcome of a delivered answer and requests its bill.
    pub(super) fn request_bill(
        &mut self,
        call: CallId,
        request: Request<Answered>,
        bill: Option<Bill>,
        ctx: &mut Context<'_>,
    ) {
        let Some(open_call) = self.calls.get_mut(&call) else {
            return;
        };
        let stage = request.stage();
        ctx.explain(
            call,
            Step::new("answer", "whole")
                .with("status", stage.status)
                .with("length", stage.delivered),
        );
        if let Some(key) = open_call.claim.clone() {
            let outcome = std::mem::take(&mut open_call.capture).outcome(stage.status);
            Self::write_outcome(&key, call, outcome, ctx);
        }
        let cost = bill.as_ref().map_or(0, |bill| bill.cost);
        ctx.explain(call, Step::new("bill", "written").with("cost", cost));
        ctx.out.raise(match bill {
            Some(bill) => Event::BillWanted { call, bill },
            None => Event::BillSafe(call),
        });
        ctx.out.raise(Event::CapacityFreed);
        open_call.state = Some(State::Billing(Box::new(request)));
    }
}
