//! Sends requests to upstreams and keeps track of the attempts.

use super::{Context, Dispatcher, State};
use crate::action::{Action, Send};
use crate::controller::trace::Step;
use crate::event::Event;
use crate::id::CallId;
use crate::note::{self, Note};
use crate::request::{Attempt, Pinned, Placed, Request};
use crate::upstream::Slot;

impl Dispatcher {
    pub(super) fn send(&mut self, call: CallId, request: Request<Placed>, ctx: &mut Context<'_>) {
        let resume_from = request.stage().delivered;
        let request = request.send(|slot| self.new_attempt(slot, resume_from, ctx));
        let stage = request.stage();
        let pinned = stage.origin.pinned();
        Self::report_choice(call, pinned, ctx);
        if ctx.state.queue.contains(call) {
            ctx.out.raise(Event::Unqueued { call, placed: true });
        }
        self.send_attempt(call, &request, &stage.attempt, ctx);
        if let Some(open_call) = self.calls.get_mut(&call) {
            open_call.state = Some(State::Running(Box::new(request)));
        }
    }

    /// Creates an attempt that holds a slot.
    pub(super) fn new_attempt(
        &mut self,
        slot: Slot,
        resume_from: u64,
        ctx: &Context<'_>,
    ) -> Attempt {
        self.last_attempt += 1;
        Attempt {
            id: self.last_attempt,
            tag: format!("{}.{}", self.prefix, self.last_attempt).into(),
            slot,
            sent_at: ctx.now.instant,
            resume_from,
            status: None,
            content_type: None,
        }
    }

    pub(super) fn send_attempt(
        &mut self,
        call: CallId,
        request: &Request<crate::request::Sent>,
        attempt: &Attempt,
        ctx: &mut Context<'_>,
    ) {
        let pinned = request.stage().origin.pinned();
        let send = Send {
            attempt: attempt.id,
            tag: attempt.tag.clone(),
            upstream: attempt.slot.upstream.clone(),
            address: attempt.slot.address.clone(),
            version: pinned.plan.version().cloned(),
            resume_from: attempt.resume_from,
            priority: pinned.allowed.class as u8,
            deadline: request.head().deadline,
            head: request.shared_head(),
        };
        let step = Step::new("send", "sent")
            .with("attempt", &send.tag)
            .with("upstream", &send.upstream)
            .with("version", send.version.as_deref().unwrap_or("-"))
            .with("offset", send.resume_from);
        ctx.explain(call, step);
        self.attempts.insert(attempt.id, call);
        ctx.out.raise(Event::RequestSent(send.upstream.clone()));
        ctx.out.act(Action::Send(Box::new(send)));
    }

    /// Reports the version to which a request is pinned.
    fn report_choice(call: CallId, pinned: &Pinned, ctx: &mut Context<'_>) {
        let Some(version) = pinned.plan.version() else {
            return;
        };
        if let Some(session) = pinned.caller_session {
            ctx.out.raise(Event::SessionSeen {
                session,
                allowed: Box::new(pinned.allowed.clone()),
                version: version.clone(),
            });
        }
        let Some(before) = &pinned.moved_from else {
            return;
        };
        let note = Note::new(&note::SESSION_MOVED)
            .with("call", call)
            .with("from", before)
            .with("to", version);
        ctx.out.note(note);
        let step = Step::new("pin", "moved")
            .with("from", before)
            .with("to", version);
        ctx.explain(call, step);
    }

    /// Removes an attempt and tells its upstream to stop.
    pub(super) fn cancel(&mut self, attempt: &Attempt, ctx: &mut Context<'_>) {
        self.attempts.swap_remove(&attempt.id);
        ctx.out.act(Action::Cancel {
            attempt: attempt.id,
            tag: attempt.tag.clone(),
            address: attempt.slot.address.clone(),
        });
    }
}
