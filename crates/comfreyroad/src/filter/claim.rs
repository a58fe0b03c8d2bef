//! A request that may run at most once needs the first claim on the log.

use super::{Filter, Halt, View};
use crate::controller::claim::Status;
use crate::record::{Key, Outcome, Replay};
use crate::refusal::{Code, Refusal};
use crate::request::{Claimed, Pinned, Request};

/// Passes idempotent requests and the holder of the first claim.
#[derive(Debug)]
pub struct Claim;

impl Filter<Pinned> for Claim {
    type Next = Claimed;

    fn apply(request: Request<Pinned>, view: &View<'_>) -> Result<Request<Claimed>, Halt<Pinned>> {
        let request = match request.skip_claim() {
            Ok(request) => return Ok(request),
            Err(request) => request,
        };
        let key = request.key();
        let claims = &view.state.claims;
        let writer = claims.writer(request.head().call);
        match claims.status(&key, &writer, view.now) {
            Status::Granted(proof) => Ok(request.claim(proof)),
            Status::Settled(outcome) => Err(Self::settled(request, outcome)),
            Status::Inconclusive => Err(Refusal::unknown(&request, Code::Claimed)
                .with_message("the record of an earlier attempt may have expired")
                .into()),
            Status::Pending if view.now.instant < claims.wait_deadline(request.head()) => {
                Err(Halt::wait(request))
            }
            Status::Pending => Err(Self::refuse_pending(&request, &key, view).into()),
        }
    }
}

impl Claim {
    /// Replays the recorded answer if it was kept, and otherwise refuses the request because it has already run.
    fn settled(request: Request<Pinned>, outcome: Outcome) -> Halt<Pinned> {
        let message = match outcome {
            Outcome::Answered {
                status,
                content_type,
                body: Some(body),
            } => {
                let replay = Replay {
                    status,
                    content_type,
                    body,
                };
                return Halt::Replay(Box::new(request.replay(&replay)), replay);
            }
            Outcome::Answered { status, .. } => {
                format!("answered before with status {status}; the answer was not kept")
            }
            Outcome::Unknown => "sent before, and the answer was lost".into(),
        };
        Refusal::unknown(&request, Code::Claimed)
            .with_message(message)
            .into()
    }

    fn refuse_pending(request: &Request<Pinned>, key: &Key, view: &View<'_>) -> Refusal {
        if view.state.claims.table().holder(key).is_some() {
            return Refusal::unknown(request, Code::Claimed)
                .with_message("another attempt is in progress");
        }
        let code = if request.head().deadline <= view.now.instant {
            Code::Deadline
        } else {
            Code::LogDown
        };
        Refusal::not_run(request, code)
    }
}
