//! Another attempt after a failure. The checks are those of the first attempt, but a refusal can no longer say that the
//! request has not run.

use super::{Filter, Halt, View, place};
use crate::refusal::{Code, Refusal};
use crate::request::{Placed, Request, Retrying, Stage};

/// Maximum number of consecutive attempts of one request that deliver nothing.
pub const MAX_ATTEMPTS: u32 = 4;

/// Gives a request that was sent before a new slot.
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
        if request.stage().attempts >= MAX_ATTEMPTS {
            return Err(maybe(Code::UpstreamFailed));
        }
        let requirements =
            place::requirements(&request.stage().claimed.pinned, request.head(), view)
                .map_err(maybe)?;
        match view.state.upstreams.pick(&requirements, view) {
            Some(slot) => Ok(request.place(slot)),
            None => Err(Halt::wait(request)),
        }
    }
}
