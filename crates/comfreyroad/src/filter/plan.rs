//! Plans which versions handle the first request of a new session, and in which order.

use std::time::Duration;

use super::View;
use crate::id::{SessionHash, VersionId};
use crate::quality::{self, Candidate, Constraints, Subject};
use crate::request::{Allowed, Class, Head, Plan, Target};
use crate::rules::Version;
use crate::session::share;

/// Percentage of new sessions that try a cheaper version which may turn out to be good enough on its own.
const EXPLORATION_PERCENT: u64 = 5;
/// Percentage of the time until the deadline that the steps of a chain may take.
const CHAIN_TIME_PERCENT: u32 = 80;
/// Maximum length of an answer that is held back for its rating, in tokens.
const MAX_RATED_TOKENS: u32 = 8 * 1024;

/// The cheapest chain that meets the quality target. Of each model one version takes part, chosen by the shares.
pub fn plan(
    allowed: &Allowed,
    active: &[&Version],
    head: &Head,
    seed: SessionHash,
    view: &View<'_>,
) -> Option<Plan> {
    let candidates = candidates(allowed, active, head, seed, view);
    let constraints = constraints(allowed, head, view);
    let chain = quality::cheapest_chain(&candidates, &constraints);
    let last = *chain.last()?;
    let explored = explored(&candidates, constraints.target, last, seed);
    let chain = match explored {
        Some(index) if constraints.time_limit.is_some() => vec![index, last],
        Some(index) => vec![index],
        None => chain,
    };
    let version = |index: usize| candidates[index].version.clone();
    Some(Plan {
        versions: chain.into_iter().map(version).collect(),
        index: 0,
    })
}

fn candidates(
    allowed: &Allowed,
    active: &[&Version],
    head: &Head,
    seed: SessionHash,
    view: &View<'_>,
) -> Vec<Candidate> {
    let mut models: Vec<&str> = active.iter().map(|version| &*version.model).collect();
    models.sort_unstable();
    models.dedup();
    let chosen = models.into_iter().filter_map(|model| {
        let of_model: Vec<&Version> = active
            .iter()
            .copied()
            .filter(|version| *version.model == *model)
            .collect();
        let id = share::choose(&of_model, seed)?;
        of_model.into_iter().find(|version| version.id == id)
    });
    let tokens = tokens(head);
    let candidate = |version: &Version| Candidate {
        version: version.id.clone(),
        cost: version.cost.saturating_mul(tokens) / 1000,
        score: score(allowed, &version.id, view),
        duration: view.state.latencies.mean_total(&version.id),
    };
    chosen.map(candidate).collect()
}

fn score(allowed: &Allowed, version: &VersionId, view: &View<'_>) -> quality::Score {
    let subject = Subject {
        route: allowed.route.clone(),
        version: version.clone(),
        is_escalated: false,
    };
    view.state.quality.score(&subject)
}

/// Maximum number of tokens for which a request is charged.
fn tokens(head: &Head) -> u64 {
    match &head.target {
        Target::Chat(chat) => u64::from(chat.prompt_tokens) + u64::from(chat.max_tokens),
        Target::Service(_) => 0,
    }
}

/// The constraints of a chain. The answer of a chain of several versions comes late and all at once, so only drafts use
/// one, and only while the rating service is up.
fn constraints(allowed: &Allowed, head: &Head, view: &View<'_>) -> Constraints {
    let quality = &view.state.quality;
    let is_short = match &head.target {
        Target::Chat(chat) => chat.max_tokens <= MAX_RATED_TOKENS,
        Target::Service(_) => false,
    };
    let allows_chain =
        allowed.class == Class::Draft && is_short && quality.is_service_up(view.now.instant);
    let left: Duration = head.deadline.saturating_duration_since(view.now.instant);
    Constraints {
        target: allowed.quality,
        rating_cost: quality.rating_cost(),
        rating_duration: quality.rating_latency(),
        time_limit: allows_chain.then(|| left * CHAIN_TIME_PERCENT / 100),
    }
}

/// For a small part of new sessions, a cheaper version that may turn out to be good enough on its own.
fn explored(
    candidates: &[Candidate],
    target: f64,
    last: usize,
    seed: SessionHash,
) -> Option<usize> {
    if seed % 100 >= EXPLORATION_PERCENT {
        return None;
    }
    let may_explore = |index: &usize| {
        let candidate = &candidates[*index];
        candidate.may_meet(target) && candidate.cost < candidates[last].cost
    };
    let options: Vec<usize> = (0..candidates.len()).filter(may_explore).collect();
    let count = options.len() as u64;
    let choice = (seed / 100).checked_rem(count)?;
    options.get(choice as usize).copied()
}
