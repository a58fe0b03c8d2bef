//! Escalation to a larger model when a smaller one has low confidence in its answer.
//!
//! Answers the load pattern in which all traffic jumps: a larger model takes several times as long, so that engines that have
//! room for some of its answers run out of slots when they get all of them, and then every answer is late. The room goes to the most
//! urgent requests first: they keep their larger models when the others have lost theirs.

use std::ops::Range;

use super::{Context, place};
use crate::answer;
use crate::request::{Rank, Request, Sent};

/// Confidence in percent at which the answer of a small model is accepted. About half of the answers at 50 are good, and the
/// reported values carry noise of about 20 (docs/DESIGN.md).
const MIN_CONFIDENCE: f64 = 62.0;
/// Utilizations of the pool's slots between which that minimum falls to nothing.
const ROOM: Range<f64> = 0.5..1.0;
/// The same for the most urgent requests, whose prompts engines admit before those that wait for a slot.
const FIRST_ROOM: Range<f64> = 0.8..1.3;
/// Fraction of the latency objective within which the first event of the larger model must be expected. The rest covers the
/// error of the prediction.
const OBJECTIVE_SHARE: f64 = 0.9;
/// Fraction of a prompt's shared tokens that the larger model is expected to miss in its cache, which is filled less often.
const CACHE_MISS_SHARE: f64 = 0.5;

/// Whether an answer should be dropped in favour of one of a larger model.
pub(crate) fn is_worthwhile(
    request: &Request<Sent>,
    head: &answer::Head,
    context: Context<'_>,
) -> bool {
    let plan = request.stage().plan();
    let now = context.now.instant;
    let utilization = context.state.upstreams.utilization(now, &plan.pool);
    let min_confidence = min_confidence(plan.rank, utilization);
    let is_low = head
        .confidence
        .is_some_and(|it| f64::from(it) < min_confidence);
    is_low
        && plan.last_event_id.is_none()
        && plan.route.idempotency.may_retry()
        && plan.has_attempts_left()
        && is_in_time(request, context)
        && has_slot(request, context)
        && context.state.retry_budgets.may_step_up(now, &plan.pool)
}

/// Whether an upstream can take the request for the larger model at once. The answer of the smaller one is dropped for it.
fn has_slot(request: &Request<Sent>, context: Context<'_>) -> bool {
    let (head, plan) = (request.head(), request.stage().plan());
    let now = context.now.instant;
    let larger = plan.larger_model();
    larger.is_some_and(|model| place::has_slot(head, plan, model, now, context.state))
}

/// The confidence in percent below which an answer is escalated. A pool whose utilization is unknown counts as idle.
fn min_confidence(rank: Rank, utilization: Option<f64>) -> f64 {
    let room = match rank {
        Rank::First => FIRST_ROOM,
        Rank::Usual => ROOM,
    };
    let share = (room.end - utilization.unwrap_or_default()) / (room.end - room.start);
    MIN_CONFIDENCE * share.clamp(0.0, 1.0)
}

/// Whether the first event of the larger model is expected in time.
fn is_in_time(request: &Request<Sent>, context: Context<'_>) -> bool {
    let (head, plan) = (request.head(), request.stage().plan());
    let Some(larger) = plan.larger_model() else {
        return false;
    };
    let cached = f64::from(head.shared_tokens()) * (1.0 - CACHE_MISS_SHARE);
    let tokens = head.prompt_tokens().saturating_sub(cached as u32);
    let now = context.now.instant;
    let speed = context
        .state
        .upstreams
        .prefill_speed(&plan.pool, Some(larger));
    let latest = head.received_at + plan.route.latency_objective.mul_f64(OBJECTIVE_SHARE);
    now + speed.time_to_first_event(now, tokens) <= latest
}
