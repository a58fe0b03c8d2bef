use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::id::{Offset, PoolId};

/// How far an entry sees a rollout. Ages are told, as clocks differ.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Progress {
    /// The pool.
    pub pool: PoolId,
    /// Place of the order.
    #[serde(rename = "order")]
    pub order_offset: Offset,
    /// Time since the order was first heard of.
    pub age: Duration,
    /// Whether the new version was found bad.
    #[serde(rename = "is_bad")]
    pub is_target_bad: bool,
    /// Part of new requests that a trial sends to the new version, once it is known.
    #[serde(rename = "trial")]
    pub trial_share: Option<f64>,
    /// Part of new requests that go to the new version; none from an entry that has not heard the counts of most others.
    #[serde(rename = "share")]
    pub target_share: Option<f64>,
}
