use std::time::Duration;

use serde::{Deserialize, Serialize};

/// What callers may send, and how long they may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// Bytes of a request's line and headers.
    #[serde(rename = "header_bytes")]
    pub max_header_bytes: usize,
    /// Bytes of a request's body.
    #[serde(rename = "body_bytes")]
    pub max_body_bytes: usize,
    /// Time for a request's headers to arrive.
    pub header_timeout: Duration,
    /// Time for which a connection without a request stays open.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_header_bytes: 16 * 1024,
            max_body_bytes: 4 * 1024 * 1024,
            header_timeout: Duration::from_secs(5),
            idle_timeout: Duration::from_secs(60),
        }
    }
}
