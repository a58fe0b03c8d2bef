//! Chooses the version: that of the session, or the plan for a new session.

use super::{Filter, Halt, View};
use crate::refusal::Refusal;
use crate::request::{Allowed, Choice, Pinned, Request};

/// Pins a request to a version or a chain of versions.
#[derive(Debug)]
pub struct Pin;

impl Filter<Allowed> for Pin {
    type Next = Pinned;

    fn apply(request: Request<Allowed>, view: &View<'_>) -> Result<Request<Pinned>, Halt<Allowed>> {
        if request.stage().versions.is_empty() {
            return Ok(request.pin(Choice::default()));
        }
        match view
            .state
            .sessions
            .choose(request.stage(), request.head(), view)
        {
            Ok(choice) => Ok(request.pin(choice)),
            Err(code) => Err(Refusal::not_run(&request, code).into()),
        }
    }
}
