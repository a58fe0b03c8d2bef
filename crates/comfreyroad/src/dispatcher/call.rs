use std::sync::Arc;

use super::judge::RATED_BYTES;
use super::kept::Kept;
use crate::record::Key;
use crate::request::{Answered, Claimed, Pinned, Request, Retrying, Sent, Unrated};

/// One call under way.
#[derive(Debug, Default)]
pub(super) struct Call {
    /// Where it stands; `None` only while it is being moved.
    pub(super) active: Option<Active>,
    /// Whether the caller has got a part of the answer.
    pub(super) begun: bool,
    /// The claim made for it.
    pub(super) claim: Option<Key>,
    /// An answer, while it is held back.
    pub(super) held: Vec<Arc<[u8]>>,
    /// A copy of the answer, where it may be rated as a sample.
    pub(super) copy: Option<Vec<u8>>,
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
    /// Answered by a version of a chain, waits for the rating.
    Judging(Box<Request<Unrated>>),
    /// Waits until its bill is safe.
    Billing(Box<Request<Answered>>),
}

impl Active {
    /// The request as its caller names it, among all customers.
    pub(super) fn key(&self) -> Key {
        let (pinned, head) = match self {
            Self::Claiming(request) => (request.stage(), request.head()),
            Self::Queued(request) => (&request.stage().pinned, request.head()),
            Self::Retrying(request) => (&request.stage().claimed.pinned, request.head()),
            Self::Running(request) => (request.stage().origin.pinned(), request.head()),
            Self::Judging(request) => (&request.stage().claimed.pinned, request.head()),
            Self::Billing(request) => (&request.stage().pinned, request.head()),
        };
        Key {
            customer: pinned.allowed.customer.clone(),
            request: head.id.clone(),
        }
    }
}

impl Call {
    /// Holds a part back until the answer is rated. One that is too long is not rated, and what is over is not kept.
    pub(super) fn hold_for_rating(&mut self, bytes: Arc<[u8]>) {
        if self.held_bytes() <= RATED_BYTES {
            self.held.push(bytes);
        }
    }

    /// Bytes held back.
    pub(super) fn held_bytes(&self) -> usize {
        self.held.iter().map(|part| part.len()).sum()
    }
}
