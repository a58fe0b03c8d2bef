use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::id::{PoolId, VersionId};

/// A pool's requests are to move to the upstreams of another version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// The pool.
    pub pool: PoolId,
    /// The version to move to.
    pub target: VersionId,
    /// Time that it may take.
    #[serde(rename = "lasts")]
    pub duration: Duration,
}
