//! The order of the chain. What follows needs a place at an upstream, see [`place`](super::place).

use super::{Filter, View, authenticate::Authenticate, find_route::FindRoute, plan::Plan};
use crate::Refusal;
use crate::request::{Received, Request, Routed};

/// Takes a new request through the filters that need no upstream.
pub fn run(request: Request<Received>, view: View<'_>) -> Result<Request<Routed>, Refusal> {
    let request = FindRoute::apply(request, view)?;
    let request = Authenticate::apply(request, view)?;
    Plan::apply(request, view)
}
