//! A second sending of what is late: only what may be repeated, has not begun, and finds a slot elsewhere.

use super::{View, place};
use crate::request::{Request, Sent};
use crate::upstream::Slot;

/// A slot for a second sending, if one is due.
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
    if stage.sending.at + late_after >= view.now.instant {
        return None;
    }
    let mut need = place::need(pinned, request.head(), view).ok()?;
    need.excluded = Some(stage.sending.slot.upstream.clone());
    state.upstreams.pick(&need, view)
}
