use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::id::PoolId;

/// A pool of upstreams that serve the same.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Its name.
    pub id: PoolId,
    /// Path of an upstream's health check.
    pub health_path: Arc<str>,
    /// Connections that one upstream takes from all callers together.
    pub max_connections: u32,
    /// What an upstream bears after its start.
    pub cold: Cold,
    /// Whether its upstreams are model engines.
    pub is_engine: bool,
}

/// What an upstream bears while it is cold.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Cold {
    /// Time after a start for which an upstream is cold.
    pub lasts: Duration,
    /// Requests a second that a cold upstream bears from all callers together.
    pub per_second: f64,
}
