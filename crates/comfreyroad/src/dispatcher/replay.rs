//! Replays recorded answers of earlier attempts.

use super::{Context, Dispatcher, State};
use crate::action::Action;
use crate::answer;
use crate::controller::trace::Step;
use crate::event::Event;
use crate::id::CallId;
use crate::record::Replay;
use crate::request::{Answered, Request};

impl Dispatcher {
    /// Delivers a recorded answer. It is billed again, but of two bills with the same key only one counts.
    pub(super) fn replay(
        &mut self,
        call: CallId,
        request: Box<Request<Answered>>,
        replay: Replay,
        ctx: &mut Context<'_>,
    ) {
        let Some(open_call) = self.calls.get_mut(&call) else {
            return;
        };
        if let Some(key) = open_call.claim.take() {
            let writer = ctx.state.claims.writer(call);
            ctx.out.raise(Event::ClaimReleased { key, writer });
        }
        open_call.has_begun = true;
        ctx.explain(call, Step::new("claim", "answered before"));
        ctx.out.act(Action::Begin {
            call,
            status: replay.status,
            content_type: replay.content_type,
            session: None,
            version: None,
        });
        ctx.out.act(Action::Deliver {
            call,
            bytes: replay.body,
        });
        let stage = request.stage();
        let bill = answer::bill(&stage.pinned, request.head(), stage.delivered, &ctx.view());
        ctx.out.raise(Event::BillWanted { call, bill });
        open_call.state = Some(State::Billing(request));
    }
}
