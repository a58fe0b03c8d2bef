//! The order of the chain. What follows needs a place at an upstream, see [`place`](super::place).

use super::{Context, Filter, authenticate::Authenticate, find_route::FindRoute, plan::Plan};
use crate::Refusal;
use crate::request::{Planned, Received, Request};

/// Takes a new request through the filters that need no upstream.
pub fn run(request: Request<Received>, context: Context<'_>) -> Result<Request<Planned>, Refusal> {
    let request = FindRoute::apply(request, context)?;
    let request = Authenticate::apply(request, context)?;
    Plan::apply(request, context)
}
