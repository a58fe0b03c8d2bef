use std::sync::Arc;

use super::capture::Capture;
use super::rating::MAX_RATED_BYTES;
use crate::record::Key;
use crate::request::{Answered, Claimed, Pinned, Request, Retrying, Sent, Unrated};

/// An open call.
#[derive(Debug, Default)]
pub(super) struct Call {
    /// State of the call. `None` only while it changes.
    pub(super) state: Option<State>,
    /// Whether a part of the answer was delivered to the caller.
    pub(super) has_begun: bool,
    /// Key of the claim made for the call.
    pub(super) claim: Option<Key>,
    /// Parts of the answer, while it is held back.
    pub(super) buffered: Vec<Arc<[u8]>>,
    /// A copy of the answer, if it may be rated as a sample.
    pub(super) sample: Option<Vec<u8>>,
    /// The answer as captured for later attempts of the caller.
    pub(super) capture: Capture,
}

/// State of an open call.
#[derive(Debug)]
pub(super) enum State {
    /// Waits for the decision on its claim.
    Claiming(Box<Request<Pinned>>),
    /// Waits for a slot.
    Queued(Box<Request<Claimed>>),
    /// Has been sent before and waits for another slot.
    Retrying(Box<Request<Retrying>>),
    /// Runs at an upstream.
    Running(Box<Request<Sent>>),
    /// Answered by a version of a chain, and waits for the rating.
    Rating(Box<Request<Unrated>>),
    /// Waits until its bill is stored durably.
    Billing(Box<Request<Answered>>),
}

impl State {
    /// Key of the request, unique among all customers.
    pub(super) fn key(&self) -> Key {
        let (pinned, head) = match self {
            Self::Claiming(request) => (request.stage(), request.head()),
            Self::Queued(request) => (&request.stage().pinned, request.head()),
            Self::Retrying(request) => (&request.stage().claimed.pinned, request.head()),
            Self::Running(request) => (request.stage().origin.pinned(), request.head()),
            Self::Rating(request) => (&request.stage().claimed.pinned, request.head()),
            Self::Billing(request) => (&request.stage().pinned, request.head()),
        };
        Key {
            customer: pinned.allowed.customer.clone(),
            request: head.id.clone(),
        }
    }
}

impl Call {
    /// Buffers a part until the answer is rated. An answer that is too long is not rated, and its remainder is dropped.
    pub(super) fn buffer_for_rating(&mut self, bytes: Arc<[u8]>) {
        if self.buffered_bytes() <= MAX_RATED_BYTES {
            self.buffered.push(bytes);
        }
    }

    /// Number of buffered bytes.
    pub(super) fn buffered_bytes(&self) -> usize {
        self.buffered.iter().map(|part| part.len()).sum()
    }
}
