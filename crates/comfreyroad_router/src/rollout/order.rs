use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::id::{PoolId, VersionId};

/// An operator's order to move a pool's requests to the upstreams of another version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// The pool to roll out.
    pub pool: PoolId,
    /// The version to move to.
    pub target: VersionId,
    /// Time within which the rollout must finish.
    #[serde(rename = "lasts")]
    pub duration: Duration,
}
