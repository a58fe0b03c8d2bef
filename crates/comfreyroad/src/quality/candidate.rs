use std::time::Duration;

use super::{Score, lower, upper};
use crate::id::VersionId;

/// A version that can answer a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// The version.
    pub version: VersionId,
    /// Cost of an answer.
    pub cost: u64,
    /// Its ratings.
    pub score: Score,
    /// Expected time to a complete answer, if known.
    pub duration: Option<Duration>,
}

impl Candidate {
    /// Number of ratings from which on the confidence bounds are used.
    pub const MIN_RATINGS: u32 = 30;

    /// Whether it has enough ratings for the confidence bounds.
    pub fn is_rated(&self) -> bool {
        self.score.rated >= Self::MIN_RATINGS
    }

    /// Whether its rate of good answers meets the target, by the lower confidence bound.
    pub fn meets(&self, target: f64) -> bool {
        target <= 0.0 || (self.is_rated() && lower(self.score) >= target)
    }

    /// Whether it may turn out to meet the target with more ratings.
    pub fn may_meet(&self, target: f64) -> bool {
        !self.meets(target) && upper(self.score) >= target
    }
}
