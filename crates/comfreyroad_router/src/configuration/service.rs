use serde::{Deserialize, Serialize};

use crate::id::PoolId;

/// A pool of interchangeable upstreams.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// The name of the pool.
    pub id: PoolId,
    /// Maximum number of connections to one upstream, over all entries.
    pub max_connections: u32,
    /// Limits on an upstream that is warming up after its start.
    #[serde(rename = "cold")]
    pub warmup: Warmup,
}

/// Limits on an upstream while it is cold.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Warmup {
    /// Maximum request rate to a cold upstream in requests per second, over all entries.
    #[serde(rename = "per_second")]
    pub requests_per_second: f64,
}
