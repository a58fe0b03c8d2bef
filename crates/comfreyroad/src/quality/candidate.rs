use std::time::Duration;

use super::{Score, lower, upper};
use crate::id::VersionId;

/// A version that might answer.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// The version.
    pub version: VersionId,
    /// Cost of an answer.
    pub cost: u64,
    /// Its rated answers.
    pub score: Score,
    /// Time that an answer takes, where that is known.
    pub takes: Option<Duration>,
}

impl Candidate {
    /// Rated answers before a bound says something of a version.
    pub const LEAST: u32 = 30;

    /// Whether its ratings say anything yet.
    pub fn is_known(&self) -> bool {
        self.score.rated >= Self::LEAST
    }

    /// Whether it is good enough on its own, as far as is certain.
    pub fn meets(&self, target: f64) -> bool {
        target <= 0.0 || (self.is_known() && lower(self.score) >= target)
    }

    /// Whether more ratings might still show that it is good enough on its own.
    pub fn is_open(&self, target: f64) -> bool {
        !self.meets(target) && upper(self.score) >= target
    }
}
