//! Refusal of requests during a shutdown.

use std::time::Duration;

use super::{Context, Filter};
use crate::Refusal;
use crate::refusal::Code;
use crate::request::{Planned, Request};

/// Refuses requests that an entry which shuts down might not finish.
#[derive(Debug)]
pub struct Drain;

impl Filter<Planned> for Drain {
    type Next = Planned;

    fn apply(request: Request<Planned>, context: Context<'_>) -> Result<Request<Planned>, Refusal> {
        let deadline = request.stage().plan.deadline;
        let lifecycle = &context.state.lifecycle;
        if lifecycle.takes_request(context.now.instant, deadline) {
            return Ok(request);
        }
        // The load balancer sends the caller to another entry at once.
        let refusal = Refusal::not_run(&request, Code::Stopping);
        Err(refusal.with_retry_after(Duration::ZERO))
    }
}
