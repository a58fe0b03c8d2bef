//! Deadlines of attempts.
//!
//! Answers the load pattern in which engines fall silent or are held up by long prompts: an attempt must not use up the time
//! in which another engine could answer.

use std::time::Instant;

use comfreyroad::clock::Now;

use super::Router;
use crate::request::{Request, Sent};

/// Time for the first event of a stream before another upstream is tried, as a factor of the latency objective.
const FIRST_EVENT_FACTOR: f64 = 1.5;
/// Time for a plain answer before another upstream is tried, as a factor of the latency objective.
const PLAIN_ANSWER_FACTOR: f64 = 0.7;
/// A later attempt, or one of a larger model, gets at least this fraction (1/2) of the time left: the request is late already,
/// and an answer that is being computed is worth more than a new start.
const LATER_ATTEMPT_DIVISOR: u32 = 2;
/// Time for the next event of a stream before another upstream resumes it, as a factor of the maximum event gap.
const NEXT_EVENT_FACTOR: f64 = 1.5;

impl Router {
    /// Deadline at this upstream for the head and first event of a stream, or for a plain answer.
    pub fn response_deadline(&self, now: Now, request: &Request<Sent>) -> Instant {
        let plan = request.stage().plan();
        let route = &plan.route;
        let can_retry = route.idempotency.may_retry()
            && plan.has_attempts_left()
            && self.state.retry_budgets.may_retry(now.instant, &plan.pool);
        if !can_retry {
            return plan.deadline;
        }
        let factor = if route.is_streaming {
            FIRST_EVENT_FACTOR
        } else {
            PLAIN_ANSWER_FACTOR
        };
        let sent_at = request.stage().sent_at;
        let mut patience = route.latency_objective.mul_f64(factor);
        if plan.runs > 1 {
            let left = plan.deadline.saturating_duration_since(sent_at);
            patience = patience.max(left / LATER_ATTEMPT_DIVISOR);
        }
        plan.deadline.min(sent_at + patience)
    }

    /// Deadline at this upstream for the next event of a stream.
    pub fn next_event_deadline(&self, now: Now, request: &Request<Sent>) -> Instant {
        let plan = request.stage().plan();
        let can_retry = plan.route.idempotency.may_retry() && plan.has_attempts_left();
        match plan.route.max_event_gap {
            Some(gap) if can_retry => plan
                .deadline
                .min(now.instant + gap.mul_f64(NEXT_EVENT_FACTOR)),
            _ => plan.deadline,
        }
    }
}
