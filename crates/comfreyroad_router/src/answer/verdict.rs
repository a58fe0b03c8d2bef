use super::{Fault, Head};
use crate::request::{Rejection, Request, Sent};

/// HTTP status of an upstream that is not the intended one.
const MISDIRECTED: u16 = 421;
/// HTTP statuses that tell a caller that its request has not run.
const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];

/// How an answer is handled, decided from its head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The answer is forwarded to the caller.
    Forward,
    /// The model has low confidence, and a larger model can be asked instead.
    LowConfidence,
    /// The upstream has not run the request.
    Rejected(Rejection),
    /// The upstream ran the request and reports a failure. The caller gets this answer only if no retry brings a better one.
    Failed,
    /// The response is not a valid answer to this request.
    Unusable(Fault),
}

/// Judges the head of an answer to a request.
pub fn judge(request: &Request<Sent>, head: &Head) -> Verdict {
    let is_id_matching = head.request_id.as_ref() == Some(&request.head().id);
    if head.request_id.is_some() && !is_id_matching {
        return Verdict::Unusable(Fault::WrongRequest);
    }
    // Without the id it may be a copy of an earlier rejection, and this request may run.
    if (head.status == MISDIRECTED || head.is_rejection) && !is_id_matching {
        return Verdict::Unusable(Fault::Broken);
    }
    if head.status == MISDIRECTED {
        return Verdict::Rejected(Rejection::Misdirected);
    }
    if head.is_rejection {
        return Verdict::Rejected(Rejection::Full);
    }
    let is_success = (200..300).contains(&head.status);
    if is_success && !(head.is_signed && is_id_matching) {
        return Verdict::Unusable(Fault::Broken);
    }
    // The upstream may have run the request, so a status that denies this is not forwarded.
    if NOT_RUN_STATUSES.contains(&head.status) {
        return Verdict::Unusable(Fault::Failed);
    }
    if head.status >= 500 {
        return Verdict::Failed;
    }
    Verdict::Forward
}
