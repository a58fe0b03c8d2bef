//! The filters that a request passes, one a file, in the order of [`chain`].

pub mod authenticate;
pub mod chain;
pub(crate) mod escalate;
pub mod find_route;
pub mod place;
pub mod plan;

use comfreyroad::clock::Now;

use crate::Refusal;
use crate::controller::Controllers;
use crate::request::{Request, Stage};

/// What a filter may look at.
#[derive(Clone, Copy, Debug)]
pub struct Context<'a> {
    /// The time.
    pub now: Now,
    /// The state.
    pub state: &'a Controllers,
}

/// One step of the chain.
pub trait Filter<S: Stage> {
    /// The stage of a request that has passed.
    type Next: Stage;

    /// Passes a request on, or refuses it.
    fn apply(request: Request<S>, context: Context<'_>) -> Result<Request<Self::Next>, Refusal>;
}
