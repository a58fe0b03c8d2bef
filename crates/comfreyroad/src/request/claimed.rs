use std::time::Instant;

use super::{Origin, Pinned, Placed, Request, Stage};
use crate::controller::claim::Proof;
use crate::upstream::Slot;

/// The request may run: it is idempotent, or its claim is the first one on the log.
#[derive(Debug)]
pub struct Claimed {
    /// The result of the earlier stages.
    pub pinned: Pinned,
    /// Proof that this call holds the claim, for a request that may run at most once.
    pub proof: Option<Proof>,
}

impl Stage for Claimed {
    const NAME: &'static str = "place";
}

impl Request<Claimed> {
    /// Whether the claim is too old for the request to run.
    pub fn is_claim_expired(&self, now: Instant) -> bool {
        let proof = self.stage.proof.as_ref();
        proof.is_some_and(|proof| proof.is_expired(now))
    }

    pub(crate) fn place(self, slot: Slot) -> Request<Placed> {
        self.into_stage(|claimed| Placed {
            origin: Origin::First(claimed),
            slot,
            delivered: 0,
        })
    }

    pub(crate) fn set_pinned(&mut self, pinned: Pinned) {
        self.stage.pinned = pinned;
    }
}
