//! Escalation to a larger model when a smaller one has low confidence in its answer.

use super::Context;
use crate::answer;
use crate::request::{Request, Sent};

/// Minimum confidence in percent at which the answer of a small model is accepted. About half of the answers at 50 are good,
/// and the reported values carry noise of about 20 (docs/DESIGN.md).
const MIN_CONFIDENCE: u8 = 62;
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
    let is_low = head.confidence.is_some_and(|it| it < MIN_CONFIDENCE);
    is_low
        && plan.last_event_id.is_none()
        && plan.route.idempotency.may_retry()
        && plan.has_attempts_left()
        && is_in_time(request, context)
        && context
            .state
            .retry_budgets
            .may_step_up(context.now.instant, &plan.pool)
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
