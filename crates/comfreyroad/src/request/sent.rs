use super::{Answered, Claimed, Origin, Placed, Repeat, Request, Retrying, Stage, Usage};
use crate::event::Unwritten;
use crate::id::{AttemptId, AttemptTag};

/// Handed to an upstream.
#[derive(Debug)]
pub struct Sent {
    /// What was found before.
    pub placed: Placed,
    /// This sending.
    pub attempt: AttemptId,
    /// Its name towards the upstream.
    pub tag: AttemptTag,
    /// The upstream's HTTP status, once known.
    pub status: Option<u16>,
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

impl Request<Sent> {
    pub(crate) fn set_status(&mut self, status: u16) {
        self.stage.status = Some(status);
    }

    pub(crate) fn advance(&mut self, delivered: u64) {
        self.stage.placed.delivered = delivered;
    }

    /// Takes it back on the proof that not a byte of it was written.
    pub(crate) fn withdraw(self, _: Unwritten) -> Returned {
        let head = self.head;
        match self.stage.placed.origin {
            Origin::First(stage) => Returned::Unsent(Request { head, stage }),
            Origin::Again(stage) => Returned::Retrying(Request { head, stage }),
        }
    }

    /// Takes it back to send it again, which only what may be repeated can do.
    pub(crate) fn retry(self) -> Result<Request<Retrying>, Self> {
        if self.stage.placed.origin.pinned().allowed.repeat == Repeat::Once {
            return Err(self);
        }
        Ok(self.into_stage(|sent| {
            let delivered = sent.placed.delivered;
            let sendings = sent.placed.origin.sendings() + 1;
            let claimed = sent.placed.origin.into_claimed();
            Retrying {
                claimed,
                delivered,
                sendings,
            }
        }))
    }

    pub(crate) fn answer(self, usage: Usage) -> Request<Answered> {
        self.into_stage(|sent| {
            let status = sent.status.unwrap_or(200);
            let delivered = sent.placed.delivered;
            let claimed = sent.placed.origin.into_claimed();
            Answered {
                pinned: claimed.pinned,
                status,
                delivered,
                usage,
            }
        })
    }
}
