//! Choice of the pool, the model, the priority and the deadline.

use comfreyroad::rendezvous;

use super::{Context, Filter};
use crate::Refusal;
use crate::id::PoolId;
use crate::refusal::Code;
use crate::request::{self, Authenticated, Head, Planned, Rank, Request};

/// Model name by which callers leave the choice to the router.
const ANY_MODEL: &str = "*";

/// Prompt lengths in tokens at each of which the priority drops by one step. An engine that serves short prompts first keeps
/// many callers on time, and a long prompt waits little for them. Each length is about three times the one before, because
/// lengths spread over two orders of magnitude.
const LENGTH_STEPS: [u32; 3] = [1_500, 5_000, 15_000];
/// Priority levels for each step, and for a customer beyond its share. Two levels leave one in between, by which operators can
/// rank customers and routes.
const LEVELS_PER_STEP: u8 = 2;

/// Plans how a request is served.
#[derive(Debug)]
pub struct Plan;

impl Filter<Authenticated> for Plan {
    type Next = Planned;

    fn apply(
        request: Request<Authenticated>,
        context: Context<'_>,
    ) -> Result<Request<Planned>, Refusal> {
        let head = request.head();
        let route = &request.stage().route;
        let latest = head.received_at + route.timeout;
        let deadline = head
            .deadline
            .map_or(latest, |deadline| deadline.min(latest));
        if deadline <= context.now.instant {
            return Err(Refusal::not_run(&request, Code::Deadline));
        }
        let Some(pool) = pool(head, route) else {
            return Err(Refusal::not_run(&request, Code::NoUpstream));
        };
        // The smallest model is cheap and often good enough; its confidence shows when a larger one is needed.
        let is_any_model = head.model.as_deref().is_none_or(|model| model == ANY_MODEL);
        let model = route.models.first().filter(|_| is_any_model).cloned();
        let last_event_id = head.last_event_id;
        let length_penalty = length_penalty(head.prompt_tokens());
        let customer = request.stage().customer.as_ref();
        let shares = &context.state.shares;
        let standing = shares.standing(context.now.instant, &pool, customer);
        let share_penalty = if standing.is_beyond() {
            LEVELS_PER_STEP
        } else {
            0
        };
        let penalty = length_penalty + share_penalty;
        let rank = rank(&pool, request.stage().priority, penalty, context);
        Ok(request.with_plan(|authenticated| request::Plan {
            route: authenticated.route,
            customer: authenticated.customer,
            priority: authenticated.priority.saturating_add(penalty),
            standing,
            rank,
            pool,
            model,
            deadline,
            required_version: None,
            last_event_id,
            tried_upstreams: Vec::new(),
            runs: 0,
            has_failed: false,
            has_moved: false,
            returns_at: None,
        }))
    }
}

/// Priority levels added for the length of the prompt.
fn length_penalty(tokens: u32) -> u8 {
    let steps = LENGTH_STEPS.iter().filter(|length| tokens >= **length);
    LEVELS_PER_STEP * steps.count() as u8
}

/// A request that engines admit after others, for its length or its customer's share, is not among the most urgent.
fn rank(pool: &PoolId, priority: u8, penalty: u8, context: Context<'_>) -> Rank {
    if penalty > LEVELS_PER_STEP {
        return Rank::Usual;
    }
    context.state.urgencies.rank(pool, priority)
}

/// Chooses the pool; requests of one session go to the same pool.
fn pool(head: &Head, route: &crate::configuration::Route) -> Option<PoolId> {
    let key: &str = head.session_key().map_or(&head.id, |key| key);
    route
        .split
        .pool_at(rendezvous::hash(&route.id, key))
        .cloned()
}
