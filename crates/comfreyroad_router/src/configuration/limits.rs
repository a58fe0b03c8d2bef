use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Limits on the size and timing of requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// Maximum size of the request line and headers in bytes.
    #[serde(rename = "header_bytes")]
    pub max_header_bytes: usize,
    /// Maximum size of the body in bytes.
    #[serde(rename = "body_bytes")]
    pub max_body_bytes: usize,
    /// Time within which the headers must arrive.
    pub header_timeout: Duration,
    /// Time after which an idle connection is closed.
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
