use super::{
    Answered, Claimed, Judged, Origin, Placed, Repeat, Request, Retrying, Sending, Stage, Usage,
};
use crate::event::Unwritten;
use crate::id::AttemptId;
use crate::record::Bill;

/// Handed to an upstream.
#[derive(Debug)]
pub struct Sent {
    /// Where it came from.
    pub origin: Origin,
    /// Tokens that the caller already has.
    pub delivered: u64,
    /// The sending whose answer counts.
    pub sending: Sending,
    /// A second sending, while neither has given a part of the answer.
    pub hedge: Option<Sending>,
}

impl Sent {
    /// The sending with this number, if it was not given up.
    pub fn sending_of(&self, attempt: AttemptId) -> Option<&Sending> {
        let sendings = [Some(&self.sending), self.hedge.as_ref()];
        sendings
            .into_iter()
            .flatten()
            .find(|sending| sending.attempt == attempt)
    }

    pub(crate) fn sending_of_mut(&mut self, attempt: AttemptId) -> Option<&mut Sending> {
        let sendings = [Some(&mut self.sending), self.hedge.as_mut()];
        sendings
            .into_iter()
            .flatten()
            .find(|sending| sending.attempt == attempt)
    }

    /// Goes on with one of two sendings and gives the other one, if there are two.
    pub(crate) fn keep(&mut self, attempt: AttemptId) -> Option<Sending> {
        let mut other = self.hedge.take()?;
        if other.attempt == attempt {
            std::mem::swap(&mut self.sending, &mut other);
        }
        Some(other)
    }

    /// Goes on without one of two sendings and gives it; `None` if it is the only one.
    pub(crate) fn give_up(&mut self, attempt: AttemptId) -> Option<Sending> {
        let hedge = self.hedge.as_ref()?.attempt;
        let kept = if hedge == attempt {
            self.sending.attempt
        } else {
            hedge
        };
        self.keep(kept)
    }
}

/// A request taken back from an upstream.
#[derive(Debug)]
pub enum Returned {
    /// No upstream has seen it.
    Unsent(Request<Claimed>),
    /// It may have run.
    Retrying(Request<Retrying>),
}

impl Stage for Sent {
    const NAME: &'static str = "send";
}

impl Request<Placed> {
    pub(crate) fn send(
        self,
        sending: impl FnOnce(crate::upstream::Slot) -> Sending,
    ) -> Request<Sent> {
        self.into_stage(|placed| Sent {
            origin: placed.origin,
            delivered: placed.delivered,
            sending: sending(placed.slot),
            hedge: None,
        })
    }
}

impl Request<Sent> {
    /// Whether a second run does no harm.
    pub fn is_idempotent(&self) -> bool {
        self.stage.origin.pinned().allowed.repeat == Repeat::Idempotent
    }

    pub(crate) fn stage_mut(&mut self) -> &mut Sent {
        &mut self.stage
    }

    /// Takes it back on the proof that not a byte of it was written.
    pub(crate) fn withdraw(self, _: Unwritten) -> Returned {
        let head = self.head;
        match self.stage.origin {
            Origin::First(stage) => Returned::Unsent(Request { head, stage }),
            Origin::Again(mut stage) => {
                stage.delivered = self.stage.delivered;
                Returned::Retrying(Request { head, stage })
            }
        }
    }

    /// Takes it back to send it again, which only what may be repeated can do.
    pub(crate) fn retry(self) -> Result<Request<Retrying>, Self> {
        if !self.is_idempotent() {
            return Err(self);
        }
        Ok(self.into_stage(|sent| {
            let progress = sent.delivered > sent.sending.resumed_at;
            // Sendings count from the last one that brought something.
            let sendings = if progress {
                1
            } else {
                sent.origin.sendings() + 1
            };
            Retrying {
                delivered: sent.delivered,
                sendings,
                claimed: sent.origin.into_claimed(),
            }
        }))
    }

    /// Goes on to be rated before its caller gets the answer.
    pub(crate) fn judge(self, usage: Usage, bill: Option<Bill>) -> Request<Judged> {
        self.into_stage(|sent| Judged {
            status: sent.sending.status.unwrap_or(200),
            content_type: sent.sending.content_type.clone(),
            length: sent.delivered,
            claimed: sent.origin.into_claimed(),
            usage,
            bill,
        })
    }

    pub(crate) fn answer(self, usage: Usage) -> Request<Answered> {
        self.into_stage(|sent| Answered {
            status: sent.sending.status.unwrap_or(200),
            delivered: sent.delivered,
            pinned: sent.origin.into_claimed().pinned,
            usage,
        })
    }
}
