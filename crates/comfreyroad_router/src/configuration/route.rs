use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{Idempotency, Split};
use crate::id::{ModelId, RouteId};

/// Selects requests by host and path prefix, and says how they are served.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// The name of the route.
    pub id: RouteId,
    /// The host of the requests.
    pub host: Arc<str>,
    /// The prefix of the request paths.
    #[serde(rename = "prefix")]
    pub prefix: Arc<str>,
    /// Whether requests may run more than once.
    #[serde(rename = "repeat")]
    pub idempotency: Idempotency,
    /// Whether answers are streams of events.
    pub is_streaming: bool,
    /// Whether callers need no API key.
    pub is_public: bool,
    /// The pools that serve the requests, with their weights.
    pub split: Split,
    /// Maximum time for a complete answer.
    pub timeout: Duration,
    /// Latency objective for a plain answer, or for the first event of a stream.
    #[serde(rename = "objective")]
    pub latency_objective: Duration,
    /// Objective for the time between two events of a stream.
    #[serde(rename = "pause")]
    pub max_event_gap: Option<Duration>,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Maximum number of upstreams that may run one request.
    pub max_attempts: u32,
    /// Models that may answer, the smallest first; empty if callers name the model.
    pub models: Vec<ModelId>,
}

impl Route {
    /// Whether a request belongs to this route.
    pub fn matches(&self, host: &str, path: &str) -> bool {
        self.host.eq_ignore_ascii_case(host) && path.starts_with(&*self.prefix)
    }
}
