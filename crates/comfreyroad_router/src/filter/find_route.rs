//! Route matching.

use std::sync::Arc;
use std::time::Duration;

use super::{Context, Filter};
use crate::Refusal;
use crate::refusal::Code;
use crate::request::{Matched, Received, Request};

/// Retry-after time for requests that arrive before the first configuration. Store outages last seconds, and callers wait no
/// longer than their deadline allows.
const RETRY_AFTER: Duration = Duration::from_millis(2000);

/// Finds the route of a request.
#[derive(Debug)]
pub struct FindRoute;

impl Filter<Received> for FindRoute {
    type Next = Matched;

    fn apply(
        request: Request<Received>,
        context: Context<'_>,
    ) -> Result<Request<Matched>, Refusal> {
        let Some(configuration) = context.state.configuration.active() else {
            let refusal = Refusal::not_run(&request, Code::NotReady);
            return Err(refusal.with_retry_after(RETRY_AFTER));
        };
        let head = request.head();
        let Some(route) = configuration.route(&head.host, &head.path) else {
            return Err(Refusal::not_run(&request, Code::NoRoute));
        };
        let route = Arc::clone(route);
        Ok(request.with_route(route))
    }
}
