//! A request that waited is bound anew where its version was withdrawn or held meanwhile.

use super::{Filter, Halt, View};
use crate::refusal::{Code, Refusal};
use crate::request::{Claimed, Head, Pinned, Request, Retrying, Stage};

/// Moves what has not begun to another version, where its own takes no more work.
#[derive(Debug)]
pub struct PinAgain;

impl Filter<Claimed> for PinAgain {
    type Next = Claimed;

    fn apply(
        mut request: Request<Claimed>,
        view: &View<'_>,
    ) -> Result<Request<Claimed>, Halt<Claimed>> {
        match moved(&request.stage().pinned, request.head(), view) {
            Ok(None) => {}
            Ok(Some(pinned)) => request.set_pinned(pinned),
            Err(code) => return Err(Refusal::not_run(&request, code).into()),
        }
        Ok(request)
    }
}

impl Filter<Retrying> for PinAgain {
    type Next = Retrying;

    fn apply(
        mut request: Request<Retrying>,
        view: &View<'_>,
    ) -> Result<Request<Retrying>, Halt<Retrying>> {
        // What has begun goes on with the same version or not at all.
        if request.stage().delivered > 0 {
            return Ok(request);
        }
        match moved(&request.stage().claimed.pinned, request.head(), view) {
            Ok(None) => {}
            Ok(Some(pinned)) => request.set_pinned(pinned),
            Err(code) => return Err(Refusal::maybe(code, Retrying::NAME).into()),
        }
        Ok(request)
    }
}

/// The request bound to another version, where that is needed.
fn moved(pinned: &Pinned, head: &Head, view: &View<'_>) -> Result<Option<Pinned>, Code> {
    let Some(version) = pinned.plan.version() else {
        return Ok(None);
    };
    let rules = view.state.rules.for_new_work(view.now)?;
    let is_active = rules.is_active(version) && !view.state.rules.is_held(version);
    if is_active || !view.state.sessions.repins_withdrawn() {
        return Ok(None);
    }
    let customer = rules
        .customers
        .get(&pinned.allowed.customer)
        .ok_or(Code::NotAllowed)?;
    let mut allowed = pinned.allowed.clone();
    allowed.versions.retain(|id| {
        let version = rules.versions.get(id);
        version.is_some_and(|version| customer.allows(version))
    });
    let mut choice = view.state.sessions.choose(&allowed, head, view)?;
    choice.moved_from.get_or_insert_with(|| version.clone());
    Ok(Some(Pinned::new(pinned.allowed.clone(), choice)))
}
