//! The order of the chain.

use super::{
    Filter, Halt, View, admit::Admit, allow::Allow, claim::Claim, pin::Pin, pin_again::PinAgain,
    place::Place, queue::Queue, retry::Retry,
};
use crate::record::Replay;
use crate::refusal::Refusal;
use crate::request::{Allowed, Answered, Claimed, Pinned, Placed, Received, Request, Retrying};

/// Where a request stands that did not come through.
#[derive(Debug)]
pub enum Stop {
    /// It is refused.
    Refused(Refusal),
    /// It ran before, and its answer is known.
    Replayed(Box<Request<Answered>>, Replay),
    /// It waits for the verdict on its claim.
    Claiming(Box<Request<Pinned>>),
    /// It waits for a slot.
    Queued(Box<Request<Claimed>>),
    /// It waits for a slot, having been sent before.
    Retrying(Box<Request<Retrying>>),
}

/// Takes a new request through the whole chain.
pub fn run(request: Request<Received>, view: &View<'_>) -> Result<Request<Placed>, Stop> {
    let request = Allow::apply(request, view)?;
    let request = Pin::apply(request, view)?;
    let request = Admit::apply(request, view)?;
    claim(request, view)
}

/// Goes on from the claim.
pub fn claim(request: Request<Pinned>, view: &View<'_>) -> Result<Request<Placed>, Stop> {
    let request = Claim::apply(request, view)?;
    place(request, view)
}

/// Goes on from the choice of an upstream.
pub fn place(request: Request<Claimed>, view: &View<'_>) -> Result<Request<Placed>, Stop> {
    let request = PinAgain::apply(request, view)?;
    let request = Queue::apply(request, view)?;
    Ok(Place::apply(request, view)?)
}

/// Chooses another upstream for a request that was sent before.
pub fn retry(request: Request<Retrying>, view: &View<'_>) -> Result<Request<Placed>, Stop> {
    let request = PinAgain::apply(request, view)?;
    Ok(Retry::apply(request, view)?)
}

impl From<Halt<Received>> for Stop {
    fn from(halt: Halt<Received>) -> Self {
        match halt {
            Halt::Refuse(refusal) => Self::Refused(refusal),
            Halt::Replay(request, replay) => Self::Replayed(request, replay),
            Halt::Wait(request) => {
                Self::Refused(Refusal::not_run(&request, crate::refusal::Code::NotReady))
            }
        }
    }
}

impl From<Halt<Allowed>> for Stop {
    fn from(halt: Halt<Allowed>) -> Self {
        match halt {
            Halt::Refuse(refusal) => Self::Refused(refusal),
            Halt::Replay(request, replay) => Self::Replayed(request, replay),
            Halt::Wait(request) => {
                Self::Refused(Refusal::not_run(&request, crate::refusal::Code::NotReady))
            }
        }
    }
}

impl From<Halt<Pinned>> for Stop {
    fn from(halt: Halt<Pinned>) -> Self {
        match halt {
            Halt::Refuse(refusal) => Self::Refused(refusal),
            Halt::Replay(request, replay) => Self::Replayed(request, replay),
            Halt::Wait(request) => Self::Claiming(request),
        }
    }
}

impl From<Halt<Claimed>> for Stop {
    fn from(halt: Halt<Claimed>) -> Self {
        match halt {
            Halt::Refuse(refusal) => Self::Refused(refusal),
            Halt::Replay(request, replay) => Self::Replayed(request, replay),
            Halt::Wait(request) => Self::Queued(request),
        }
    }
}

impl From<Halt<Retrying>> for Stop {
    fn from(halt: Halt<Retrying>) -> Self {
        match halt {
            Halt::Refuse(refusal) => Self::Refused(refusal),
            Halt::Replay(request, replay) => Self::Replayed(request, replay),
            Halt::Wait(request) => Self::Retrying(request),
        }
    }
}
