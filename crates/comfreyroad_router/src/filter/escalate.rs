//! Whether a larger model is asked in place of one that is not sure of its answer.

use super::Context;
use crate::answer;
use crate::request::{Request, Sent};

/// Confidence, of a hundred, from which a small model's answer is taken. It is about even whether an answer at 50 is good,
/// and the engines' noise is some 20 around it (docs/DESIGN.md).
const CONFIDENT: u8 = 62;
/// Part of an objective within which a larger model's first event must be likely to come; the rest is for the error of the
/// prediction.
const IN_TIME: f64 = 0.9;
/// Part of a prompt's shared tokens that a larger model is expected to read again, as its cache is filled less often.
const SHARED_READ: f64 = 0.5;

/// Whether an answer is to be dropped for one of a larger model.
pub(crate) fn is_worthwhile(
    request: &Request<Sent>,
    head: &answer::Head,
    context: Context<'_>,
) -> bool {
    let plan = request.stage().plan();
    let is_unsure = head.confidence.is_some_and(|it| it < CONFIDENT);
    is_unsure
        && plan.last_event_id.is_none()
        && plan.route.idempotency.may_retry()
        && plan.has_attempts_left()
        && is_in_time(request, context)
        && context
            .state
            .retry_budgets
            .may_step_up(context.now.instant, &plan.pool)
}

/// Whether a larger model's answer is likely to begin in time.
fn is_in_time(request: &Request<Sent>, context: Context<'_>) -> bool {
    let (head, plan) = (request.head(), request.stage().plan());
    let Some(larger) = plan.larger_model() else {
        return false;
    };
    let kept = f64::from(head.shared_tokens()) * (1.0 - SHARED_READ);
    let tokens = head.prompt_tokens().saturating_sub(kept as u32);
    let now = context.now.instant;
    let reading = context
        .state
        .upstreams
        .prefill_speed(&plan.pool, Some(larger));
    let latest = head.received_at + plan.route.latency_objective.mul_f64(IN_TIME);
    now + reading.time_to_first_event(now, tokens) <= latest
}
