//! The filter chain of requests, one filter a file, in the order of [`chain::run`].
//!
//! A filter takes a request of one stage and gives one of the next, keeps it waiting, or refuses it. Filters read the
//! controllers' state and never write it; what they take, such as a slot, is a guard that gives it back on drop.

pub mod admit;
pub mod allow;
pub mod chain;
pub mod claim;
pub mod hedge;
pub mod pin;
pub mod pin_again;
pub mod place;
pub mod plan;
pub mod queue;
pub mod retry;

use crate::clock::Now;
use crate::controller::Controllers;
use crate::record::Replay;
use crate::refusal::Refusal;
use crate::request::{Answered, Request, Stage};

/// One step of the chain.
pub trait Filter<S: Stage> {
    /// The stage that a request reaches by this step.
    type Next: Stage;

    /// Lets a request pass, keeps it waiting, or refuses it.
    fn apply(request: Request<S>, view: &View<'_>) -> Result<Request<Self::Next>, Halt<S>>;
}

/// What a filter sees.
#[derive(Clone, Copy, Debug)]
pub struct View<'a> {
    /// The time.
    pub now: Now,
    /// All state, to be read.
    pub state: &'a Controllers,
}

/// Why a request did not pass a filter.
#[derive(Debug)]
pub enum Halt<S> {
    /// It waits; the filter is asked again when something has changed.
    Wait(Box<Request<S>>),
    /// It ran before, and its answer is known.
    Replay(Box<Request<Answered>>, Replay),
    /// It is refused.
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
