use super::{Claimed, Pinned, Retrying, Stage};
use crate::upstream::Slot;

/// Given a slot at an upstream.
#[derive(Debug)]
pub struct Placed {
    /// Where it came from.
    pub origin: Origin,
    /// The upstream and the slot held there.
    pub slot: Slot,
    /// Tokens that the caller already has.
    pub delivered: u64,
}

/// How a request came to be placed.
#[derive(Debug)]
pub enum Origin {
    /// Never sent before.
    First(Claimed),
    /// Sent before.
    Again(Retrying),
}

impl Origin {
    /// What was found before the request was placed.
    pub fn claimed(&self) -> &Claimed {
        match self {
            Self::First(claimed) => claimed,
            Self::Again(retrying) => &retrying.claimed,
        }
    }

    pub(crate) fn into_claimed(self) -> Claimed {
        match self {
            Self::First(claimed) => claimed,
            Self::Again(retrying) => retrying.claimed,
        }
    }

    /// The version and customer found before.
    pub fn pinned(&self) -> &Pinned {
        &self.claimed().pinned
    }

    /// Sendings so far.
    pub fn sendings(&self) -> u32 {
        match self {
            Self::First(_) => 0,
            Self::Again(retrying) => retrying.sendings,
        }
    }
}

impl Stage for Placed {
    const NAME: &'static str = "send";
}
