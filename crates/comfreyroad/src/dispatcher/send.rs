//! Sending: a name for each attempt, and its place among those under way.

use super::{Active, Dispatcher, Turn};
use crate::action::{Action, Send};
use crate::controller::trace::Step;
use crate::event::Event;
use crate::id::CallId;
use crate::note::{self, Note};
use crate::request::{Pinned, Placed, Request, Sending};
use crate::upstream::Slot;

impl Dispatcher {
    pub(super) fn send(&mut self, call: CallId, request: Request<Placed>, turn: &mut Turn<'_>) {
        let resumed_at = request.stage().delivered;
        let request = request.send(|slot| self.sending(slot, resumed_at, turn));
        let stage = request.stage();
        let pinned = stage.origin.pinned();
        Self::tell_choice(call, pinned, turn);
        if turn.state.queue.contains(call) {
            turn.out.raise(Event::Unqueued { call, placed: true });
        }
        self.act_send(call, &request, &stage.sending, turn);
        if let Some(known) = self.calls.get_mut(&call) {
            known.active = Some(Active::Running(Box::new(request)));
        }
    }

    /// A new attempt in a slot.
    pub(super) fn sending(&mut self, slot: Slot, resumed_at: u64, turn: &Turn<'_>) -> Sending {
        self.last_attempt += 1;
        Sending {
            attempt: self.last_attempt,
            tag: format!("{}.{}", self.prefix, self.last_attempt).into(),
            slot,
            at: turn.now.instant,
            resumed_at,
            status: None,
            content_type: None,
        }
    }

    pub(super) fn act_send(
        &mut self,
        call: CallId,
        request: &Request<crate::request::Sent>,
        sending: &Sending,
        turn: &mut Turn<'_>,
    ) {
        let pinned = request.stage().origin.pinned();
        let send = Send {
            attempt: sending.attempt,
            tag: sending.tag.clone(),
            upstream: sending.slot.upstream.clone(),
            address: sending.slot.address.clone(),
            version: pinned.plan.version().cloned(),
            resume_from: sending.resumed_at,
            priority: pinned.allowed.class as u8,
            deadline: request.head().deadline,
            head: request.shared_head(),
        };
        let step = Step::new("send", "sent")
            .with("attempt", &send.tag)
            .with("upstream", &send.upstream)
            .with("version", send.version.as_deref().unwrap_or("-"))
            .with("offset", send.resume_from);
        turn.explain(call, step);
        self.attempts.insert(sending.attempt, call);
        turn.out.raise(Event::RequestSent(send.upstream.clone()));
        turn.out.act(Action::Send(Box::new(send)));
    }

    /// Tells of the version that a request is bound to.
    fn tell_choice(call: CallId, pinned: &Pinned, turn: &mut Turn<'_>) {
        let Some(version) = pinned.plan.version() else {
            return;
        };
        if let Some(session) = pinned.own_id {
            turn.out.raise(Event::SessionSeen {
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
        turn.out.note(note);
        let step = Step::new("pin", "moved")
            .with("from", before)
            .with("to", version);
        turn.explain(call, step);
    }

    /// Forgets an attempt and tells its upstream to stop.
    pub(super) fn cancel(&mut self, sending: &Sending, turn: &mut Turn<'_>) {
        self.attempts.swap_remove(&sending.attempt);
        turn.out.act(Action::Cancel {
            attempt: sending.attempt,
            tag: sending.tag.clone(),
            address: sending.slot.address.clone(),
        });
    }
}
