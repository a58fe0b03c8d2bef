//! The filter chain for requests, with one filter per file, in the order of [`chain::run`].
//!
//! A filter moves a request from one stage to the next, keeps it waiting, or refuses it. Filters read the state of the
//! controllers and never write it. What they acquire, such as a slot, is a guard that releases it on drop.

pub mod admit;
pub mod allow;
pub mod chain;
pub mod claim;
pub mod hedge;
pub mod pin;
pub mod place;
pub mod plan;
pub mod queue;
pub mod repin;
pub mod retry;

use crate::clock::Now;
use crate::controller::Controllers;
use crate::record::Replay;
use crate::refusal::Refusal;
use crate::request::{Answered, Request, Stage};

/// One step of the chain.
pub trait Filter<S: Stage> {
    /// The stage of a request that has passed the filter.
    type Next: Stage;

    /// Passes a request on, keeps it waiting, or refuses it.
    fn apply(request: Request<S>, view: &View<'_>) -> Result<Request<Self::Next>, Halt<S>>;
}

/// The time and state on which a filter decides.
#[derive(Clone, Copy, Debug)]
pub struct View<'a> {
    /// The current time.
    pub now: Now,
    /// The state of all controllers, read-only.
    pub state: &'a Controllers,
}

/// Why a request did not pass a filter.
#[derive(Debug)]
pub enum Halt<S> {
    /// The request waits. The filter is applied again when the state has changed.
    Wait(Box<Request<S>>),
    /// The request ran before, and its recorded answer is replayed.
    Replay(Box<Request<Answered>>, Replay),
    /// The request is refused.
    Refuse(Refusal),
}

impl<S: Stage> Halt<S> {
    /// Keeps a request waiting.
    pub fn wait(request: Request<S>) -> Self {
        Self::Wait(Box::new(request))
    }
}

impl<S> From<Refusal> for Halt<S> {
    fn from(refusal: Refusal) -> Self {
        Self::Refuse(refusal)
    }
}
