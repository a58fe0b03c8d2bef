use serde::{Deserialize, Serialize};

use crate::id::PoolId;

/// A pool of upstreams that serve the same.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Its name.
    pub id: PoolId,
    /// Connections that one upstream takes from all callers together.
    pub max_connections: u32,
    /// What an upstream bears after its start.
    #[serde(rename = "cold")]
    pub warmup: Warmup,
}

/// What an upstream bears while it is cold.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Warmup {
    /// Requests a second that a cold upstream bears from all callers together.
    #[serde(rename = "per_second")]
    pub requests_per_second: f64,
}
