//! A request that may run once at most goes on only with the first claim.

use super::{Filter, Halt, View};
use crate::controller::claim::Verdict;
use crate::record::Key;
use crate::refusal::{Code, Refusal};
use crate::request::{Claimed, Pinned, Request};

/// Lets pass what may be repeated, and the holder of the first claim.
#[derive(Debug)]
pub struct Claim;

impl Filter<Pinned> for Claim {
    type Next = Claimed;

    fn apply(request: Request<Pinned>, view: &View<'_>) -> Result<Request<Claimed>, Halt<Pinned>> {
        let request = match request.skip_claim() {
            Ok(request) => return Ok(request),
            Err(request) => request,
        };
        let key = Key {
            customer: request.stage().allowed.customer.clone(),
            request: request.head().id.clone(),
        };
        let writer = view.state.claims.writer(request.head().call);
        match view.state.claims.verdict(&key, &writer) {
            Verdict::First(proof) => Ok(request.claim(proof)),
            Verdict::Open if request.head().deadline <= view.now.instant => {
                Err(Refusal::not_run(&request, Code::Deadline).into())
            }
            Verdict::Open => Err(Halt::wait(request)),
            // Another attempt of the same request may be running or may have run.
            Verdict::Taken(_) => Err(Refusal::maybe(Code::Claimed, "claim").into()),
        }
    }
}
