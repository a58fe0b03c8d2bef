use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{Idempotency, Split};
use crate::id::{ModelId, RouteId};

/// Where requests of one host and path go, and how they are treated.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Its name.
    pub id: RouteId,
    /// The host that it belongs to.
    pub host: Arc<str>,
    /// What paths begin with.
    #[serde(rename = "prefix")]
    pub path_prefix: Arc<str>,
    /// Whether its requests may run more than once.
    #[serde(rename = "repeat")]
    pub idempotency: Idempotency,
    /// Whether answers are streams of events.
    pub is_streaming: bool,
    /// Whether callers need no key.
    pub is_public: bool,
    /// The pools that answer.
    pub split: Split,
    /// Longest time that a caller is kept waiting.
    pub timeout: Duration,
    /// Time within which an answer, or its first event, is on time.
    #[serde(rename = "objective")]
    pub latency_objective: Duration,
    /// Longest pause between two events of an answer that is on time.
    #[serde(rename = "pause")]
    pub max_event_gap: Option<Duration>,
    /// Urgency; 0 is the most urgent.
    pub priority: u8,
    /// Upstreams to which one request may be sent at most.
    pub max_attempts: u32,
    /// Models that may answer, the smallest first; empty where callers name the model.
    pub models: Vec<ModelId>,
}

impl Route {
    /// Whether a request belongs to it.
    pub fn matches(&self, host: &str, path: &str) -> bool {
        self.host.eq_ignore_ascii_case(host) && path.starts_with(&*self.path_prefix)
    }
}
