use super::{Claimed, Pinned, Retrying, Stage};
use crate::upstream::Slot;

/// The request has a slot at an upstream.
#[derive(Debug)]
pub struct Placed {
    /// The stage before this one.
    pub origin: Origin,
    /// The upstream and the slot held there.
    pub slot: Slot,
    /// Number of tokens already delivered to the caller.
    pub delivered: u64,
}

/// The stage from which a request was placed.
#[derive(Debug)]
pub enum Origin {
    /// The request has not been sent before.
    First(Claimed),
    /// The request has been sent before.
    Retry(Retrying),
}

impl Origin {
    /// The result of the stages before placement.
    pub fn claimed(&self) -> &Claimed {
        match self {
            Self::First(claimed) => claimed,
            Self::Retry(retrying) => &retrying.claimed,
        }
    }

    pub(crate) fn into_claimed(self) -> Claimed {
        match self {
            Self::First(claimed) => claimed,
            Self::Retry(retrying) => retrying.claimed,
        }
    }

    /// The customer and versions of the request.
    pub fn pinned(&self) -> &Pinned {
        &self.claimed().pinned
    }

    /// Number of attempts so far since the last one that delivered something.
    pub fn attempts(&self) -> u32 {
        match self {
            Self::First(_) => 0,
            Self::Retry(retrying) => retrying.attempts,
        }
    }
}

impl Stage for Placed {
    const NAME: &'static str = "send";
}
