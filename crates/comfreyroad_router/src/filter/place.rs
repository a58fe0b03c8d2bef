//! Placement: gives a request a slot at an upstream, for the first attempt and for retries.

use std::time::{Duration, Instant};

use comfreyroad::rendezvous;

use crate::Refusal;
use crate::controller::Controllers;
use crate::controller::upstreams::{Requirements, Versions};
use crate::id::{ModelId, UpstreamId};
use crate::refusal::Code;
use crate::request::{Head, Placed, Plan, Request, Unplaced};
use crate::upstream::Slot;

/// Interval at which a request that waits for its first slot is placed again.
const WAIT_INTERVAL: Duration = Duration::from_millis(10);
/// Interval at which a request that has progress is placed again.
const RESUME_INTERVAL: Duration = Duration::from_millis(100);
/// A request waits for a slot for at most this fraction (1/8) of its latency objective before it is refused.
const WAIT_DIVISOR: u32 = 8;
/// Time over which callers return to a pool whose upstreams were all paused.
const RETURN_SPREAD: Duration = Duration::from_millis(500);
/// Maximum retry-after time for a caller whose request got no slot.
const MAX_RETRY_AFTER: Duration = Duration::from_millis(1000);
/// Minimum retry-after time for a caller whose customer is beyond its share.
const MIN_RETURN_TIME: Duration = Duration::from_millis(200);

/// What happens to a request that gets no slot.
#[derive(Debug)]
pub enum Backpressure<S> {
    /// It waits for a slot, and is placed again at a given time.
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
    if is_retry && !plan.has_attempts_left() {
        return Err(Backpressure::Refuse(overloaded(&request, now)));
    }
    let is_in_budget = !is_retry || state.retry_budgets.may_retry(now, &plan.pool);
    if is_in_budget && let Some(slot) = find_slot(request.head(), plan, now, state) {
        return Ok(request.with_slot(slot));
    }
    if plan.has_progress() && has_upstream(request.head(), plan, now, state) {
        return Err(Backpressure::Wait(request, now + RESUME_INTERVAL));
    }
    if !is_in_budget {
        return Err(Backpressure::Refuse(overloaded(&request, now)));
    }
    if let Some(ends_at) = state.upstreams.pool_paused_until(now, &plan.pool) {
        let refusal = S::refuse(&request, Code::Overloaded);
        let spread = RETURN_SPREAD.mul_f64(rendezvous::fraction(&request.head().id, ""));
        let after = ends_at.saturating_duration_since(now) + spread;
        return Err(Backpressure::Refuse(refusal.with_retry_after(after)));
    }
    let customer = plan.customer.as_ref();
    if let Some(room_at) = state.shares.room_at(now, &plan.pool, customer) {
        return Err(Backpressure::Refuse(beyond_share(&request, now, room_at)));
    }
    let until = request.head().received_at + plan.route.latency_objective / WAIT_DIVISOR;
    if until > now && !is_retry {
        return Err(Backpressure::Wait(request, until.min(now + WAIT_INTERVAL)));
    }
    Err(Backpressure::Refuse(overloaded(&request, now)))
}

fn overloaded<S: Unplaced>(request: &Request<S>, now: Instant) -> Refusal {
    let plan = request.stage().plan();
    let left = plan.deadline.saturating_duration_since(now);
    let refusal = S::refuse(request, Code::Overloaded);
    refusal.with_retry_after(MAX_RETRY_AFTER.min(left / 4))
}

/// Refuses a request of a customer beyond its share until room for it is expected, spread over as long again.
fn beyond_share<S: Unplaced>(request: &Request<S>, now: Instant, room_at: Instant) -> Refusal {
    let deadline = request.stage().plan().deadline;
    let left = deadline.saturating_duration_since(now);
    let until_room = room_at.saturating_duration_since(now);
    let until_room = until_room.max(MIN_RETURN_TIME).min(left / 4);
    let spread = until_room.mul_f64(rendezvous::fraction(&request.head().id, ""));
    S::refuse(request, Code::BeyondShare).with_retry_after(until_room + spread)
}

/// A slot at an upstream that was not tried, or at any if the request has progress, which is lost unless some upstream goes on
/// with it.
fn find_slot(head: &Head, plan: &Plan, now: Instant, state: &mut Controllers) -> Option<Slot> {
    let untried = acquire_slot(head, plan, Scope::untried(plan), now, state);
    let may_return = plan.has_progress() && plan.returns_at.is_none_or(|at| at <= now);
    if untried.is_some() || !may_return {
        return untried;
    }
    acquire_slot(head, plan, Scope::default(), now, state)
}

/// The upstreams among which one is selected.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Scope<'a> {
    /// Upstreams that are excluded.
    pub(super) excluded: &'a [UpstreamId],
    /// Whether the request is well placed where it is, so that only an upstream will do that is healthy and has a free slot, and none of
    /// another version than it should have.
    pub(super) is_optional: bool,
}

impl<'a> Scope<'a> {
    /// The upstreams that a request has not tried.
    pub(super) fn untried(plan: &'a Plan) -> Self {
        Self {
            excluded: &plan.tried_upstreams,
            is_optional: false,
        }
    }
}

/// A slot at the best upstream of a scope.
pub(super) fn acquire_slot(
    head: &Head,
    plan: &Plan,
    scope: Scope<'_>,
    now: Instant,
    state: &mut Controllers,
) -> Option<Slot> {
    let versions = allowed_versions(head, plan, now, state);
    let wanted = Requirements {
        excluded: scope.excluded,
        is_optional: scope.is_optional,
        ..requirements(head, plan, plan.model.as_ref(), state)
    };
    let requirements = |versions| Requirements {
        versions,
        ..wanted.clone()
    };
    let evacuations = &state.evacuations;
    let slot = state
        .upstreams
        .acquire_slot(now, &requirements(versions.clone()), evacuations);
    if slot.is_some() || scope.is_optional {
        return slot;
    }
    let fallback = state.rollouts.fallback(&plan.pool, &versions)?;
    state
        .upstreams
        .acquire_slot(now, &requirements(fallback), evacuations)
}

/// Whether a request finds a slot at once if it is placed anew with a model.
pub(super) fn has_slot(
    head: &Head,
    plan: &Plan,
    model: &ModelId,
    now: Instant,
    state: &Controllers,
) -> bool {
    let versions = allowed_versions(head, plan, now, state);
    let requirements = Requirements {
        versions,
        ..requirements(head, plan, Some(model), state)
    };
    state
        .upstreams
        .has_slot(now, &requirements, &state.evacuations)
}

/// Whether an upstream is there that could serve the request once it has a free slot.
fn has_upstream(head: &Head, plan: &Plan, now: Instant, state: &Controllers) -> bool {
    let versions = allowed_versions(head, plan, now, state);
    let requirements = Requirements {
        versions,
        ..requirements(head, plan, plan.model.as_ref(), state)
    };
    state
        .upstreams
        .has_match(now, &requirements, &state.evacuations)
}

/// What a request requires if it is answered by a model: any version, any upstream.
fn requirements<'a>(
    head: &Head,
    plan: &'a Plan,
    model: Option<&'a ModelId>,
    state: &Controllers,
) -> Requirements<'a> {
    let speed = state.upstreams.prefill_speed(&plan.pool, model);
    Requirements {
        pool: &plan.pool,
        model,
        versions: Versions::Any,
        affinity: affinity(head, model),
        demand: state.estimates.demand((head, plan), model, speed),
        mean_work: state.estimates.mean_work(&plan.pool),
        excluded: &[],
        is_optional: false,
        is_retry: plan.is_retry(),
        salt: rendezvous::hash(&head.id, ""),
    }
}

/// The key of requests that benefit from the same cache: the last shared part of the prompt, and the model.
fn affinity(head: &Head, model: Option<&ModelId>) -> Option<u64> {
    let part = head.shared_prefix()?;
    Some(rendezvous::hash(&part.id, model.map_or("", |it| it)))
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
