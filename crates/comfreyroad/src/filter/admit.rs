//! Admission control, by class and by whether the deadline can still be met.

use std::time::Duration;

use super::{Filter, Halt, View};
use crate::controller::queue::{Ticket, can_meet_deadline};
use crate::refusal::{Code, Refusal};
use crate::request::{Head, Pinned, Request};

/// Time after which a refused caller is told to retry if no longer wait is expected.
const RETRY_AFTER: Duration = Duration::from_millis(500);
/// Maximum time after which a refused caller is told to retry. Cold upstreams make the queue long, but they warm up
/// within seconds.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Refuses a request at once if it would be refused after waiting in the queue.
#[derive(Debug)]
pub struct Admit;

impl Filter<Pinned> for Admit {
    type Next = Pinned;

    fn apply(request: Request<Pinned>, view: &View<'_>) -> Result<Request<Pinned>, Halt<Pinned>> {
        let ticket = ticket(request.stage(), request.head(), view, false);
        let state = view.state;
        let has_no_room = state.limits.is_exceeded(ticket.class)
            && state.queue.eviction_candidate(&ticket).is_none();
        if has_no_room {
            return Err(overloaded(&request, RETRY_AFTER).into());
        }
        let first = state.queue.waiting_in(&ticket.lane).next();
        if first.is_none() || !state.limits.is_shedding_enabled() {
            return Ok(request);
        }
        let wait = state.queue.expected_wait(&ticket);
        let duration = state.latencies.mean_total(&ticket.lane).unwrap_or_default();
        if !can_meet_deadline(ticket.deadline, view.now.instant, wait + duration) {
            return Err(overloaded(&request, wait).into());
        }
        Ok(request)
    }
}

/// The refusal of a request because of overload.
pub(crate) fn overloaded<S: crate::request::Unsent>(
    request: &Request<S>,
    wait: Duration,
) -> Refusal {
    let wait = wait.clamp(RETRY_AFTER, MAX_RETRY_AFTER);
    Refusal::not_run(request, Code::Overloaded).with_retry_after(wait)
}

/// The queue ticket of a request.
pub(crate) fn ticket(pinned: &Pinned, head: &Head, view: &View<'_>, was_sent: bool) -> Ticket {
    let rules = view.state.rules.in_force();
    let customer = rules.and_then(|rules| rules.rules.customers.get(&pinned.allowed.customer));
    Ticket {
        call: head.call,
        lane: pinned.lane(),
        class: pinned.allowed.class,
        customer: pinned.allowed.customer.clone(),
        weight: customer.map_or(1, |customer| customer.weight),
        deadline: head.deadline,
        was_sent,
    }
}
