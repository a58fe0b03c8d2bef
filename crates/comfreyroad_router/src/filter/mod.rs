//! The filter chain: one file for each filter, applied in the order of [`chain`].

pub mod authenticate;
pub mod chain;
pub mod drain;
pub(crate) mod escalate;
pub mod find_route;
pub(crate) mod hand_over;
pub mod place;
pub mod plan;

use comfreyroad::clock::Now;

use crate::Refusal;
use crate::controller::Controllers;
use crate::request::{Request, Stage};

/// What a filter can read.
#[derive(Clone, Copy, Debug)]
pub struct Context<'a> {
    /// The current time.
    pub now: Now,
    /// The state of all controllers.
    pub state: &'a Controllers,
}

/// One filter of the chain.
pub trait Filter<S: Stage> {
    /// The stage of a request that has passed the filter.
    type Next: Stage;

    /// Moves a request to the next stage, or refuses it.
    fn apply(request: Request<S>, context: Context<'_>) -> Result<Request<Self::Next>, Refusal>;
}
