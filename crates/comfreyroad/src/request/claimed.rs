use std::time::Instant;

use super::{Origin, Pinned, Placed, Request, Stage};
use crate::controller::claim::Proof;
use crate::upstream::Slot;

/// Free to run: either repeatable or claimed first on the log.
#[derive(Debug)]
pub struct Claimed {
    /// What was found before.
    pub pinned: Pinned,
    /// Where it may run once at most, the proof that this is the run.
    pub proof: Option<Proof>,
}

impl Stage for Claimed {
    const NAME: &'static str = "place";
}

impl Request<Claimed> {
    /// Whether its claim is too old for it to run.
    pub fn is_lapsed(&self, now: Instant) -> bool {
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
