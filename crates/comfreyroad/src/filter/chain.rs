//! The order of the filters.

use super::{
    Filter, Halt, View, admit::Admit, allow::Allow, claim::Claim, pin::Pin, place::Place,
    queue::Queue, repin::Repin, retry::Retry,
};
use crate::record::Replay;
use crate::refusal::Refusal;
use crate::request::{Allowed, Answered, Claimed, Pinned, Placed, Received, Request, Retrying};

/// Where a request stopped in the chain.
#[derive(Debug)]
pub enum Stop {
    /// The request is refused.
    Refused(Refusal),
    /// The request ran before, and its recorded answer is replayed.
    Replayed(Box<Request<Answered>>, Replay),
    /// The request waits for the decision on its claim.
    Claiming(Box<Request<Pinned>>),
    /// The request waits for a slot.
    Queued(Box<Request<Claimed>>),
    /// The request has been sent before and waits for another slot.
    Retrying(Box<Request<Retrying>>),
}

/// Runs a new request through the whole chain.
pub fn run(request: Request<Received>, view: &View<'_>) -> Result<Request<Placed>, Stop> {
    let request = Allow::apply(request, view)?;
    let request = Pin::apply(request, view)?;
    let request = Admit::apply(request, view)?;
    claim(request, view)
}

/// Continues from the claim.
pub fn claim(request: Request<Pinned>, view: &View<'_>) -> Result<Request<Placed>, Stop> {
    let request = Claim::apply(request, view)?;
    place(request, view)
}

/// Continues from the choice of an upstream.
pub fn place(request: Request<Claimed>, view: &View<'_>) -> Result<Request<Placed>, Stop> {
    let request = Repin::apply(request, view)?;
    let request = Queue::apply(request, view)?;
    Ok(Place::apply(request, view)?)
}

/// Chooses another upstream for a request that was sent before.
pub fn retry(request: Request<Retrying>, view: &View<'_>) -> Result<Request<Placed>, Stop> {
    let request = Repin::apply(request, view)?;
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
