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
