use super::kept::Kept;
use crate::record::Key;
use crate::request::{Answered, Claimed, Pinned, Request, Retrying, Sent};

/// One call under way.
#[derive(Debug, Default)]
pub(super) struct Call {
    /// Where it stands; `None` only while it is being moved.
    pub(super) active: Option<Active>,
    /// Whether the caller has got a part of the answer.
    pub(super) begun: bool,
    /// The claim made for it.
    pub(super) claim: Option<Key>,
    /// What is kept of the answer for later attempts.
    pub(super) kept: Kept,
}

/// Where a call stands.
#[derive(Debug)]
pub(super) enum Active {
    /// Waits for the verdict on its claim.
    Claiming(Box<Request<Pinned>>),
    /// Waits for a slot.
    Queued(Box<Request<Claimed>>),
    /// Waits for a slot, having been sent before.
    Retrying(Box<Request<Retrying>>),
    /// At an upstream.
    Running(Box<Request<Sent>>),
    /// Waits until its bill is safe.
    Billing(Box<Request<Answered>>),
}
