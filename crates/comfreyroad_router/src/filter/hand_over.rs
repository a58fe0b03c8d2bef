//! Hand-over: gives a request whose upstream is silent a slot at another one.
//!
//! Answers the load pattern in which few engines are left and short of memory: they preempt requests for seconds and then go on
//! with them. An attempt that is under way is worth more than none, so it ends only when another upstream takes the request.

use std::time::Instant;

use super::place::{self, Scope};
use crate::controller::Controllers;
use crate::request::{Request, Sent};
use crate::upstream::Slot;

/// A slot at an upstream that the request has not tried, or to which it may go back; `None` if none can take it now.
pub(crate) fn find_slot(
    request: &Request<Sent>,
    now: Instant,
    state: &mut Controllers,
) -> Option<Slot> {
    let (head, plan) = (request.head(), request.stage().plan());
    // The other upstream needs time for its first event, which an entry that is about to exit does not have.
    let first_event_at = now + plan.route.latency_objective;
    let exits_before = state
        .lifecycle
        .exit_deadline()
        .is_some_and(|at| at < first_event_at);
    // What an entry that shuts down cuts is best cut at an upstream that works on it. One that rejects the request late, or says nothing,
    // might leave none.
    let must_stay = plan.required_version.is_some() && state.lifecycle.is_draining();
    let may_move = plan.route.idempotency.may_retry()
        && plan.has_attempts_left()
        && plan.deadline > now
        && !exits_before
        && !must_stay
        && state.retry_budgets.may_retry(now, &plan.pool)
        && state.quarantine.ends_at(now, head).is_none();
    if !may_move {
        return None;
    }
    let may_return = plan.has_progress() && plan.returns_at.is_some_and(|at| at <= now);
    let excluded = if may_return {
        std::slice::from_ref(&request.stage().slot.upstream)
    } else {
        &plan.tried_upstreams
    };
    let scope = Scope {
        excluded,
        is_optional: true,
    };
    place::acquire_slot(head, plan, scope, now, state)
}
