//! Which pool and model answer, and until when.

use comfreyroad::rendezvous;

use super::{Context, Filter};
use crate::Refusal;
use crate::id::PoolId;
use crate::refusal::Code;
use crate::request::{self, Authenticated, Head, Planned, Request};

/// Model name of callers that leave the choice to the router.
const ANY_MODEL: &str = "*";

/// Tokens of a prompt from which it ranks lower, a step each. An engine that reads short prompts first keeps many callers on
/// time, and a long one waits little for them. The steps are threefold, as lengths spread over two orders of magnitude.
const LENGTHS: [u32; 3] = [1_500, 5_000, 15_000];
/// Ranks that a step takes; between them lies one rank for operators to tell customers and routes apart.
const LENGTH_RANKS: u8 = 2;

/// Plans what is to be done with a request.
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
        // A small model is cheap and often good enough; its own confidence tells when it is not.
        let is_open = head.model.as_deref().is_none_or(|model| model == ANY_MODEL);
        let model = route.models.first().filter(|_| is_open).cloned();
        let last_event = head.last_event_id;
        let length_rank = length_rank(head.prompt_tokens());
        Ok(request.with_plan(|known| request::Plan {
            route: known.route,
            customer: known.customer,
            priority: known.priority.saturating_add(length_rank),
            pool,
            model,
            deadline,
            required_version: None,
            last_event_id: last_event,
            tried_upstreams: Vec::new(),
            runs: 0,
        }))
    }
}

/// Ranks by which a prompt comes after short ones.
fn length_rank(tokens: u32) -> u8 {
    let steps = LENGTHS.iter().filter(|length| tokens >= **length);
    LENGTH_RANKS * steps.count() as u8
}

/// The pool; requests of one session go to the same.
fn pool(head: &Head, route: &crate::configuration::Route) -> Option<PoolId> {
    let key: &str = head.session_key().map_or(&head.id, |key| key);
    route
        .split
        .pool_at(rendezvous::hash(&route.id, key))
        .cloned()
}
