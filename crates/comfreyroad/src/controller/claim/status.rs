use super::Proof;
use crate::record::Outcome;

/// What the log says of a claim.
#[derive(Debug)]
pub enum ClaimStatus {
    /// It is the first.
    Granted(Proof),
    /// It is not on the log yet, or the first one's holder may still give it back or settle it.
    Pending,
    /// Another one was first and it is known how that ended.
    Settled(Outcome),
    /// It would be the first, but an earlier one may have expired unread, or it has grown too old.
    Inconclusive,
}
