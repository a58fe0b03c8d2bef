//! The order of the filters. Placement at an upstream follows separately, see [`place`](super::place).

use super::{
    Context, Filter, authenticate::Authenticate, drain::Drain, find_route::FindRoute, plan::Plan,
};
use crate::Refusal;
use crate::request::{Planned, Received, Request};

/// Applies the filters that need no upstream to a new request.
pub fn run(request: Request<Received>, context: Context<'_>) -> Result<Request<Planned>, Refusal> {
    let request = FindRoute::apply(request, context)?;
    let request = Authenticate::apply(request, context)?;
    let request = Plan::apply(request, context)?;
    Drain::apply(request, context)
}
