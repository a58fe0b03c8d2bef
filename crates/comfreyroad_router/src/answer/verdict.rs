use super::{Fault, Head};
use crate::request::{Rejection, Request, Sent};

/// HTTP status of an upstream that is not the one that was meant.
const MISDIRECTED: u16 = 421;
/// HTTP statuses that promise a caller that its request has not run.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

/// What the head of an answer means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The caller gets it.
    Forward,
    /// The model is not sure of its answer, and a larger one can be asked.
    LowConfidence,
    /// The upstream has not run the request.
    Rejected(Rejection),
    /// The upstream ran the request and says that it failed; the caller may get this where nothing better is to be had.
    Failed,
    /// It cannot be taken for an answer to this request.
    Unusable(Fault),
}

/// Judges the head of an answer to a request.
pub fn judge(request: &Request<Sent>, head: &Head) -> Verdict {
    let is_named = head.request_id.as_ref() == Some(&request.head().id);
    if head.request_id.is_some() && !is_named {
        return Verdict::Unusable(Fault::WrongRequest);
    }
    if head.status == MISDIRECTED {
        return Verdict::Rejected(Rejection::Misdirected);
    }
    if head.is_rejection {
        return Verdict::Rejected(Rejection::Full);
    }
    let is_success = (200..300).contains(&head.status);
    if is_success && !(head.is_signed && is_named) {
        return Verdict::Unusable(Fault::Broken);
    }
    // A status that would promise too much is not passed on.
    if PROMISES.contains(&head.status) {
        return Verdict::Unusable(Fault::Failed);
    }
    if head.status >= 500 {
        return Verdict::Failed;
    }
    Verdict::Forward
}
