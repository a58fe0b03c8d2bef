use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::id::{Incarnation, UpstreamId};

/// What an upstream has stated to some entry about its rate limit.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RateLimitReport {
    /// The upstream.
    pub upstream: UpstreamId,
    /// The incarnation of the upstream.
    pub incarnation: Incarnation,
    /// Requests per second that it takes from all entries together; `None` if it has no limit any more.
    pub rate: Option<f64>,
    /// Time since the upstream stated it. It is sent as an age, because the clocks of entries differ.
    pub age: Duration,
}
