use super::Proof;
use crate::record::Outcome;

/// What the log says of a claim.
#[derive(Debug)]
pub enum Verdict {
    /// It is the first.
    First(Proof),
    /// It is not on the log yet, or the first one's holder may still give it back or settle it.
    Open,
    /// Another one was first and it is known how that ended.
    Settled(Outcome),
    /// It would be the first, but an earlier one may have expired unread, or it has grown too old.
    Unsure,
}
