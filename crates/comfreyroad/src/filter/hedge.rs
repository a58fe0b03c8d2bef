//! Hedging: a second attempt for a late request. The request must be idempotent, its answer must not have begun, and
//! another upstream must have a free slot.

use super::{View, place};
use crate::request::{Request, Sent};
use crate::upstream::Slot;

/// A slot for a hedged attempt, if one is due.
pub fn slot(request: &Request<Sent>, has_begun: bool, view: &View<'_>) -> Option<Slot> {
    let stage = request.stage();
    if has_begun || stage.hedge.is_some() || stage.delivered > 0 || !request.is_idempotent() {
        return None;
    }
    let state = view.state;
    if !state.budgets.may_hedge() || !state.queue.is_empty() {
        return None;
    }
    let pinned = stage.origin.pinned();
    let late_after = state.latencies.late_after(&pinned.lane())?;
    if stage.attempt.sent_at + late_after >= view.now.instant {
        return None;
    }
    let mut requirements = place::requirements(pinned, request.head(), view).ok()?;
    requirements.excluded = Some(stage.attempt.slot.upstream.clone());
    state.upstreams.pick(&requirements, view)
}
