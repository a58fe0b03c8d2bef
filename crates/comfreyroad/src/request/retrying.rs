use super::{Claimed, Origin, Pinned, Placed, Request, Stage};
use crate::upstream::Slot;

/// An attempt has failed, and the request may be sent again.
#[derive(Debug)]
pub struct Retrying {
    /// The result of the stages before the first attempt.
    pub claimed: Claimed,
    /// Number of tokens already delivered to the caller.
    pub delivered: u64,
    /// Number of attempts since the last one that delivered something, including that one.
    pub attempts: u32,
}

impl Stage for Retrying {
    const NAME: &'static str = "retry";
}

impl Request<Retrying> {
    pub(crate) fn place(self, slot: Slot) -> Request<Placed> {
        self.into_stage(|retrying| Placed {
            delivered: retrying.delivered,
            origin: Origin::Retry(retrying),
            slot,
        })
    }

    pub(crate) fn set_pinned(&mut self, pinned: Pinned) {
        self.stage.claimed.pinned = pinned;
    }
}
