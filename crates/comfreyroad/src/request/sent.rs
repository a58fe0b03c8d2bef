use super::{
    Answered, Attempt, Claimed, Origin, Placed, Repeat, Request, Retrying, Stage, Unrated, Usage,
};
use crate::event::Unwritten;
use crate::id::AttemptId;
use crate::record::Bill;

/// The request has been sent to an upstream.
#[derive(Debug)]
pub struct Sent {
    /// The stage from which the request was placed.
    pub origin: Origin,
    /// Number of tokens already delivered to the caller.
    pub delivered: u64,
    /// The attempt whose answer is delivered.
    pub attempt: Attempt,
    /// A hedged second attempt, while neither attempt has returned a part of the answer.
    pub hedge: Option<Attempt>,
}

impl Sent {
    /// The attempt with this id, unless it was abandoned.
    pub fn attempt(&self, id: AttemptId) -> Option<&Attempt> {
        let attempts = [Some(&self.attempt), self.hedge.as_ref()];
        attempts
            .into_iter()
            .flatten()
            .find(|attempt| attempt.id == id)
    }

    pub(crate) fn attempt_mut(&mut self, id: AttemptId) -> Option<&mut Attempt> {
        let attempts = [Some(&mut self.attempt), self.hedge.as_mut()];
        attempts
            .into_iter()
            .flatten()
            .find(|attempt| attempt.id == id)
    }

    /// Keeps one of two attempts and returns the other one. Returns `None` if there is only one attempt.
    pub(crate) fn keep(&mut self, id: AttemptId) -> Option<Attempt> {
        let mut other = self.hedge.take()?;
        if other.id == id {
            std::mem::swap(&mut self.attempt, &mut other);
        }
        Some(other)
    }

    /// Removes and returns one of two attempts. Returns `None` if there is only one attempt.
    pub(crate) fn abandon(&mut self, id: AttemptId) -> Option<Attempt> {
        let hedge = self.hedge.as_ref()?.id;
        let kept = if hedge == id { self.attempt.id } else { hedge };
        self.keep(kept)
    }
}

/// A request taken back from an upstream.
#[derive(Debug)]
pub enum Returned {
    /// No upstream has seen the request.
    Unsent(Request<Claimed>),
    /// The request may have run.
    Retrying(Request<Retrying>),
}

impl Stage for Sent {
    const NAME: &'static str = "send";
}

impl Request<Placed> {
    pub(crate) fn send(
        self,
        attempt: impl FnOnce(crate::upstream::Slot) -> Attempt,
    ) -> Request<Sent> {
        self.into_stage(|placed| Sent {
            origin: placed.origin,
            delivered: placed.delivered,
            attempt: attempt(placed.slot),
            hedge: None,
        })
    }
}

impl Request<Sent> {
    /// Whether the request may run more than once.
    pub fn is_idempotent(&self) -> bool {
        self.stage.origin.pinned().allowed.repeat == Repeat::Idempotent
    }

    pub(crate) fn stage_mut(&mut self) -> &mut Sent {
        &mut self.stage
    }

    /// Undoes the send, given evidence that nothing was written to the upstream.
    pub(crate) fn undo_send(self, _: Unwritten) -> Returned {
        let head = self.head;
        match self.stage.origin {
            Origin::First(stage) => Returned::Unsent(Request { head, stage }),
            Origin::Retry(mut stage) => {
                stage.delivered = self.stage.delivered;
                Returned::Retrying(Request { head, stage })
            }
        }
    }

    /// Prepares an idempotent request for another attempt. Gives any other request back unchanged.
    pub(crate) fn retry(self) -> Result<Request<Retrying>, Self> {
        if !self.is_idempotent() {
            return Err(self);
        }
        Ok(self.into_stage(|sent| {
            let progress = sent.delivered > sent.attempt.resume_from;
            // Attempts are counted from the last one that delivered something.
            let attempts = if progress {
                1
            } else {
                sent.origin.attempts() + 1
            };
            Retrying {
                delivered: sent.delivered,
                attempts,
                claimed: sent.origin.into_claimed(),
            }
        }))
    }

    /// Holds the complete answer back until it is rated.
    pub(crate) fn await_rating(self, usage: Usage, bill: Option<Bill>) -> Request<Unrated> {
        self.into_stage(|sent| Unrated {
            status: sent.attempt.status.unwrap_or(200),
            content_type: sent.attempt.content_type.clone(),
            length: sent.delivered,
            claimed: sent.origin.into_claimed(),
            usage,
            bill,
        })
    }

    pub(crate) fn answer(self, usage: Usage) -> Request<Answered> {
        self.into_stage(|sent| Answered {
            status: sent.attempt.status.unwrap_or(200),
            delivered: sent.delivered,
            pinned: sent.origin.into_claimed().pinned,
            usage,
        })
    }
}
