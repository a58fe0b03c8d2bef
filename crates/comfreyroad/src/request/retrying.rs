use super::{Claimed, Origin, Pinned, Placed, Request, Stage};
use crate::upstream::Slot;

/// Sent before, failed, and free to be sent again.
#[derive(Debug)]
pub struct Retrying {
    /// What was found before the first sending.
    pub claimed: Claimed,
    /// Tokens that the caller already has.
    pub delivered: u64,
    /// Sendings since the caller last got something.
    pub sendings: u32,
}

impl Stage for Retrying {
    const NAME: &'static str = "retry";
}

impl Request<Retrying> {
    pub(crate) fn place(self, slot: Slot) -> Request<Placed> {
        self.into_stage(|retrying| Placed {
            delivered: retrying.delivered,
            origin: Origin::Again(retrying),
            slot,
        })
    }

    pub(crate) fn set_pinned(&mut self, pinned: Pinned) {
        self.stage.claimed.pinned = pinned;
    }
}
