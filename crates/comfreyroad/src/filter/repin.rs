//! Repins a request whose version was withdrawn or held while the request waited.

use super::{Filter, Halt, View};
use crate::refusal::{Code, Refusal};
use crate::request::{Claimed, Head, Pinned, Request, Retrying, Stage};

/// Moves a request whose answer has not begun to another version if its own takes no new work.
#[derive(Debug)]
pub struct Repin;

impl Filter<Claimed> for Repin {
    type Next = Claimed;

    fn apply(
        mut request: Request<Claimed>,
        view: &View<'_>,
    ) -> Result<Request<Claimed>, Halt<Claimed>> {
        match repinned(&request.stage().pinned, request.head(), view) {
            Ok(None) => {}
            Ok(Some(pinned)) => request.set_pinned(pinned),
            Err(code) => return Err(Refusal::not_run(&request, code).into()),
        }
        Ok(request)
    }
}

impl Filter<Retrying> for Repin {
    type Next = Retrying;

    fn apply(
        mut request: Request<Retrying>,
        view: &View<'_>,
    ) -> Result<Request<Retrying>, Halt<Retrying>> {
        // An answer that has begun is only ever continued by the same version.
        if request.stage().delivered > 0 {
            return Ok(request);
        }
        match repinned(&request.stage().claimed.pinned, request.head(), view) {
            Ok(None) => {}
            Ok(Some(pinned)) => request.set_pinned(pinned),
            Err(code) => return Err(Refusal::maybe(code, Retrying::NAME).into()),
        }
        Ok(request)
    }
}

/// The request pinned to another version, or `None` if it can stay.
fn repinned(pinned: &Pinned, head: &Head, view: &View<'_>) -> Result<Option<Pinned>, Code> {
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
