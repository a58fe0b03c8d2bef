//! A second sending: the same checks as the first, but a refusal can no longer say "not run".

use super::{Filter, Halt, View, place};
use crate::refusal::{Code, Refusal};
use crate::request::{Placed, Request, Retrying, Stage};

/// Sendings of one request at most that bring nothing.
pub const MAX_SENDINGS: u32 = 4;

/// Gives a request that was sent before a slot at another upstream.
#[derive(Debug)]
pub struct Retry;

impl Filter<Retrying> for Retry {
    type Next = Placed;

    fn apply(
        request: Request<Retrying>,
        view: &View<'_>,
    ) -> Result<Request<Placed>, Halt<Retrying>> {
        let maybe = |code| Halt::Refuse(Refusal::maybe(code, Retrying::NAME));
        if request.head().deadline <= view.now.instant {
            return Err(maybe(Code::Deadline));
        }
        if request.stage().sendings >= MAX_SENDINGS {
            return Err(maybe(Code::UpstreamFailed));
        }
        let need =
            place::need(&request.stage().claimed.pinned, request.head(), view).map_err(maybe)?;
        match view.state.upstreams.pick(&need, view) {
            Some(slot) => Ok(request.place(slot)),
            None => Err(Halt::wait(request)),
        }
    }
}
