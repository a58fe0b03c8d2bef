//! Placement: gives a request a slot at an upstream, for the first attempt and for retries.

use std::sync::Arc;
use std::time::{Duration, Instant};

use comfreyroad::rendezvous;

use crate::Refusal;
use crate::controller::Controllers;
use crate::controller::upstreams::{Requirements, Versions};
use crate::refusal::Code;
use crate::request::{Head, Placed, Plan, Request, Unplaced};

/// A request waits for a slot for at most this fraction (1/8) of its latency objective before it is refused.
const WAIT_DIVISOR: u32 = 8;
/// Time over which callers return to a pool whose upstreams were all paused.
const RETURN_SPREAD: Duration = Duration::from_millis(500);
/// Maximum retry-after time for a caller whose request got no slot.
const MAX_RETRY_AFTER: Duration = Duration::from_millis(1000);

/// What happens to a request that gets no slot.
#[derive(Debug)]
pub enum Backpressure<S> {
    /// It waits for a slot until a given time.
    Wait(Request<S>, Instant),
    /// It is refused.
    Refuse(Refusal),
}

/// Gives a request a slot, or tells it to wait, or refuses it.
pub(crate) fn place<S: Unplaced>(
    request: Request<S>,
    now: Instant,
    state: &mut Controllers,
) -> Result<Request<Placed>, Backpressure<S>> {
    let plan = request.stage().plan();
    if plan.deadline <= now {
        return Err(Backpressure::Refuse(S::refuse(&request, Code::Deadline)));
    }
    if let Some(ends_at) = state.quarantine.ends_at(now, request.head()) {
        let refusal = S::refuse(&request, Code::Quarantined);
        let refusal = refusal.with_retry_after(ends_at.saturating_duration_since(now));
        return Err(Backpressure::Refuse(refusal));
    }
    let is_retry = plan.is_retry();
    if is_retry && !(plan.has_attempts_left() && state.retry_budgets.may_retry(now, &plan.pool)) {
        return Err(Backpressure::Refuse(overloaded(&request, now)));
    }
    if let Some(slot) = acquire_slot(request.head(), plan, now, state) {
        return Ok(request.with_slot(slot));
    }
    if let Some(ends_at) = state.upstreams.pool_paused_until(now, &plan.pool) {
        let refusal = S::refuse(&request, Code::Overloaded);
        let spread = RETURN_SPREAD.mul_f64(rendezvous::fraction(&request.head().id, ""));
        let after = ends_at.saturating_duration_since(now) + spread;
        return Err(Backpressure::Refuse(refusal.with_retry_after(after)));
    }
    let until = request.head().received_at + plan.route.latency_objective / WAIT_DIVISOR;
    if until > now && !is_retry {
        return Err(Backpressure::Wait(request, until));
    }
    Err(Backpressure::Refuse(overloaded(&request, now)))
}

fn overloaded<S: Unplaced>(request: &Request<S>, now: Instant) -> Refusal {
    let plan = request.stage().plan();
    let left = plan.deadline.saturating_duration_since(now);
    let refusal = S::refuse(request, Code::Overloaded);
    refusal.with_retry_after(MAX_RETRY_AFTER.min(left / 4))
}

fn acquire_slot(
    head: &Head,
    plan: &Plan,
    now: Instant,
    state: &mut Controllers,
) -> Option<crate::upstream::Slot> {
    let versions = allowed_versions(head, plan, now, state);
    let requirements = |versions: Versions| Requirements {
        pool: &plan.pool,
        model: plan.model.as_ref(),
        versions,
        affinity: affinity(head, plan),
        prompt_tokens: head.prompt_tokens(),
        cacheable_tokens: head.shared_tokens(),
        tried: &plan.tried_upstreams,
        salt: rendezvous::hash(&head.id, ""),
    };
    let evacuations = &state.evacuations;
    let slot = state
        .upstreams
        .acquire_slot(now, &requirements(versions.clone()), evacuations);
    if slot.is_some() || !state.rollouts.may_fall_back(&plan.pool, &versions) {
        return slot;
    }
    state
        .upstreams
        .acquire_slot(now, &requirements(Versions::Any), evacuations)
}

/// The key of requests that benefit from the same cache: the last shared part of the prompt, and the model.
fn affinity(head: &Head, plan: &Plan) -> Option<Arc<str>> {
    let part = head.shared_prefix()?;
    let model = plan.model.as_deref().unwrap_or_default();
    Some(format!("{}/{model}", part.id).into())
}

/// The acceptable versions: the version that produced a part of the answer or its successor, else the version of the session,
/// else the choice of the rollout.
fn allowed_versions(head: &Head, plan: &Plan, now: Instant, state: &Controllers) -> Versions {
    let rollouts = &state.rollouts;
    if let Some(version) = &plan.required_version {
        let successor = rollouts.successor(&plan.pool, version);
        return Versions::Only(successor.unwrap_or(version).clone());
    }
    if let Some(session) = head.session_key()
        && let Some(version) = state.sessions.version(now, &plan.pool, session)
        && !rollouts.is_retired(&plan.pool, version)
    {
        // The version of the session may have no upstream left.
        let mut upstreams = state.upstreams.all();
        if upstreams.any(|it| it.registration.version == *version && it.is_ready(now)) {
            return Versions::Only(version.clone());
        }
    }
    rollouts.allowed_versions(now, &plan.pool, head.session_key(), &head.id)
}
