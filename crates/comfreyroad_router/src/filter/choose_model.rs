//! Choice of the model that is asked first.
//!
//! Answers the load pattern in which most answers of the smallest model to urgent requests are dropped for those of a larger one: the
//! first attempt then costs its caller time, an engine a prompt, and the retry budget an attempt.

use comfreyroad::rendezvous;

use super::{Context, Filter, escalate, place};
use crate::Refusal;
use crate::request::{Planned, Rank, Request};

/// Fraction of dropped answers of the smallest model from which it is not asked first.
const MAX_DROPPED_SHARE: f64 = 0.5;
/// Utilization of the pool's slots up to which a larger model is asked first. Above it, the smallest model's answers that will do
/// save room.
const MAX_UTILIZATION: f64 = 0.7;
/// One in this many requests asks the smallest model first all the same, as its answers show what it can do now.
const PROBE_INTERVAL: u64 = 8;

/// Lets a request ask the largest model first if the smallest one is expected not to do.
#[derive(Debug)]
pub struct ChooseModel;

impl Filter<Planned> for ChooseModel {
    type Next = Planned;

    fn apply(request: Request<Planned>, context: Context<'_>) -> Result<Request<Planned>, Refusal> {
        if !prefers_larger(&request, context) {
            return Ok(request);
        }
        let larger = request.stage().plan.larger_model().cloned();
        Ok(request.with_model(larger))
    }
}

fn prefers_larger(request: &Request<Planned>, context: Context<'_>) -> bool {
    let (head, plan) = (request.head(), &request.stage().plan);
    let (Some(smallest), Some(larger)) = (&plan.model, plan.larger_model()) else {
        return false;
    };
    if plan.rank != Rank::First || plan.last_event_id.is_some() || is_probe(&head.id) {
        return false;
    }
    let now = context.now.instant;
    let utilization = context.state.upstreams.utilization(now, &plan.pool);
    let min_confidence = escalate::min_confidence(plan.rank, utilization);
    let models = &context.state.models;
    let dropped = models.share_below(&plan.route.id, smallest, min_confidence);
    utilization.unwrap_or_default() <= MAX_UTILIZATION
        && dropped.is_some_and(|share| share >= MAX_DROPPED_SHARE)
        && escalate::is_in_time(head, plan, larger, context)
        && place::has_slot(head, plan, larger, now, context.state)
}

fn is_probe(id: &str) -> bool {
    rendezvous::hash(id, "probe").is_multiple_of(PROBE_INTERVAL)
}
