use super::Proof;
use crate::record::Outcome;

/// The status of a claim according to the log.
#[derive(Debug)]
pub enum Status {
    /// The claim is the first, so its writer may run the request.
    Granted(Proof),
    /// The claim is not on the log yet, or the holder of the first claim may still release or settle it.
    Pending,
    /// Another claim was first, and its outcome is known.
    Settled(Outcome),
    /// The claim would be the first, but an earlier one may have expired unread, or the claim itself is too old.
    Inconclusive,
}
