use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::id::{Offset, PoolId};

/// How long ago an entry first heard of a rollout. Ages are told, as clocks differ.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    /// The pool.
    pub pool: PoolId,
    /// Place of the order.
    pub order: Offset,
    /// Time since the order was first heard of.
    pub age: Duration,
    /// Whether the new version was found bad.
    pub is_bad: bool,
}
