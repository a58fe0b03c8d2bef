//! When an upstream counts as silent, so that another one may take over its request.
//!
//! Answers the load pattern in which engines fall silent or are held up by long prompts: an attempt must not use up the time
//! in which another engine could answer.

use std::time::{Duration, Instant};

use comfreyroad::clock::Now;

use super::Router;
use crate::request::{Plan, Request, Sent};

/// Time for the first event of a stream before another upstream may take over, as a factor of the latency objective.
const FIRST_EVENT_FACTOR: f64 = 1.5;
/// Time for a plain answer before another upstream may take over, as a factor of the latency objective.
const PLAIN_ANSWER_FACTOR: f64 = 0.7;
/// A later attempt, or one of a larger model, gets at least this fraction (1/2) of the time left: the request is late already,
/// and an answer that is being computed is worth more than a new start.
const LATER_ATTEMPT_DIVISOR: u32 = 2;
/// Time for the next event of a stream before another upstream may resume it, as a factor of the maximum event gap.
const NEXT_EVENT_FACTOR: f64 = 1.5;
/// Time in which an upstream rejects a request that it does not take. Its work and that of the upstream before may overlap only for a
/// moment.
const REJECTION_TIME: Duration = Duration::from_millis(200);
/// Interval at which another upstream is looked for while the present one is silent.
const SEARCH_INTERVAL: Duration = Duration::from_millis(250);

impl Router {
    /// When this upstream counts as silent if the first event of a stream, or a plain answer, has not arrived; the request's own
    /// deadline if no other upstream may take over.
    pub fn response_deadline(&self, request: &Request<Sent>) -> Instant {
        let plan = request.stage().plan();
        let route = &plan.route;
        if !may_move(plan) {
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

    /// When this upstream counts as silent if the next event of a stream has not arrived; the request's own deadline if no other
    /// upstream may take over.
    pub fn next_event_deadline(&self, now: Now, request: &Request<Sent>) -> Instant {
        let plan = request.stage().plan();
        match plan.route.max_event_gap {
            Some(gap) if may_move(plan) => plan
                .deadline
                .min(now.instant + gap.mul_f64(NEXT_EVENT_FACTOR)),
            _ => plan.deadline,
        }
    }

    /// Until when a silent upstream is kept while the request is offered to another one.
    pub fn offer_deadline(&self, now: Now) -> Instant {
        now.instant + REJECTION_TIME
    }

    /// When another upstream is looked for again, after none could take over.
    pub fn next_search(&self, now: Now, request: &Request<Sent>) -> Instant {
        let deadline = request.stage().plan().deadline;
        deadline.min(now.instant + SEARCH_INTERVAL)
    }
}

fn may_move(plan: &Plan) -> bool {
    plan.route.idempotency.may_retry() && plan.has_attempts_left()
}
