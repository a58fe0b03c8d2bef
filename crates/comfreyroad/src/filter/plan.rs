//! Which versions try a new session's first request, and in which order.

use std::time::Duration;

use super::View;
use crate::id::{SessionHash, VersionId};
use crate::quality::{self, Candidate, Constraints, Subject};
use crate::request::{Allowed, Class, Head, Plan, Target};
use crate::rules::Version;
use crate::session::share;

/// New sessions of a hundred that try a cheaper version which may be good enough on its own.
const EXPLORED: u64 = 5;
/// Parts of the time until the deadline, of a hundred, that the steps of a chain may take.
const ROOM: u32 = 80;
/// Longest answer that can be held back for its rating, in tokens.
const MAX_TOKENS: u32 = 8 * 1024;

/// The cheapest chain that meets the quality target, of one version of each model by its shares.
pub fn plan(
    allowed: &Allowed,
    active: &[&Version],
    head: &Head,
    seed: SessionHash,
    view: &View<'_>,
) -> Option<Plan> {
    let candidates = candidates(allowed, active, head, seed, view);
    let terms = terms(allowed, head, view);
    let chain = quality::chain(&candidates, &terms);
    let last = *chain.last()?;
    let explored = explored(&candidates, terms.target, last, seed);
    let chain = match explored {
        Some(index) if terms.room.is_some() => vec![index, last],
        Some(index) => vec![index],
        None => chain,
    };
    let version = |index: usize| candidates[index].version.clone();
    Some(Plan {
        versions: chain.into_iter().map(version).collect(),
        at: 0,
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
        takes: view.state.latencies.mean_total(&version.id),
    };
    chosen.map(candidate).collect()
}

fn score(allowed: &Allowed, version: &VersionId, view: &View<'_>) -> quality::Score {
    let subject = Subject {
        route: allowed.route.clone(),
        version: version.clone(),
        is_later: false,
    };
    view.state.quality.score(&subject)
}

/// Tokens that an answer costs at most.
fn tokens(head: &Head) -> u64 {
    match &head.target {
        Target::Chat(chat) => u64::from(chat.prompt_tokens) + u64::from(chat.max_tokens),
        Target::Service(_) => 0,
    }
}

/// A chain's answer comes late and all at once, so only drafts take one, and only while ratings come.
fn terms(allowed: &Allowed, head: &Head, view: &View<'_>) -> Constraints {
    let quality = &view.state.quality;
    let is_short = match &head.target {
        Target::Chat(chat) => chat.max_tokens <= MAX_TOKENS,
        Target::Service(_) => false,
    };
    let has_room =
        allowed.class == Class::Draft && is_short && quality.is_service_up(view.now.instant);
    let left: Duration = head.deadline.saturating_duration_since(view.now.instant);
    Constraints {
        target: allowed.quality,
        rating_cost: quality.rating_cost(),
        rating_duration: quality.rating_latency(),
        room: has_room.then(|| left * ROOM / 100),
    }
}

/// A cheaper version that may be good enough on its own, for a small part of new sessions.
fn explored(
    candidates: &[Candidate],
    target: f64,
    last: usize,
    seed: SessionHash,
) -> Option<usize> {
    if seed % 100 >= EXPLORED {
        return None;
    }
    let is_open = |index: &usize| {
        let candidate = &candidates[*index];
        candidate.is_open(target) && candidate.cost < candidates[last].cost
    };
    let open: Vec<usize> = (0..candidates.len()).filter(is_open).collect();
    let count = open.len() as u64;
    let turn = (seed / 100).checked_rem(count)?;
    open.get(turn as usize).copied()
}
