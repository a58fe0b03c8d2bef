//! Answers of earlier attempts, given again.

use super::{Active, Dispatcher, Turn};
use crate::action::Action;
use crate::answer;
use crate::controller::trace::Step;
use crate::event::Event;
use crate::id::CallId;
use crate::record::Replay;
use crate::request::{Answered, Request};

impl Dispatcher {
    /// Gives a recorded answer. It is billed as the first time, and of two bills with one key one counts.
    pub(super) fn replay(
        &mut self,
        call: CallId,
        request: Box<Request<Answered>>,
        replay: Replay,
        turn: &mut Turn<'_>,
    ) {
        let Some(known) = self.calls.get_mut(&call) else {
            return;
        };
        if let Some(key) = known.claim.take() {
            let writer = turn.state.claims.writer(call);
            turn.out.raise(Event::ClaimReleased { key, writer });
        }
        known.begun = true;
        turn.explain(call, Step::new("claim", "answered before"));
        turn.out.act(Action::Begin {
            call,
            status: replay.status,
            content_type: replay.content_type,
            session: None,
            version: None,
        });
        turn.out.act(Action::Deliver {
            call,
            bytes: replay.body,
        });
        let stage = request.stage();
        let bill = answer::bill(&stage.pinned, request.head(), stage.delivered, &turn.view());
        turn.out.raise(Event::BillWanted { call, bill });
        known.active = Some(Active::Billing(request));
    }
}
