use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::id::{PoolId, Position};

/// An entry's view of a rollout. Times are sent as ages, because the clocks of entries differ.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Progress {
    /// The pool that is rolled out.
    pub pool: PoolId,
    /// Position of the rollout's order.
    #[serde(rename = "order")]
    pub order_offset: Position,
    /// Time since any entry first learned of the order.
    pub age: Duration,
    /// Whether the new version has been found bad.
    #[serde(rename = "is_bad")]
    pub is_target_bad: bool,
    /// Fraction of new requests that the trial in the canary phase sends to the new version, once it is agreed.
    #[serde(rename = "trial")]
    pub trial_share: Option<f64>,
    /// Fraction of new requests that currently go to the new version; `None` from an entry that lacks the counts of most other
    /// entries.
    #[serde(rename = "share")]
    pub target_share: Option<f64>,
}
