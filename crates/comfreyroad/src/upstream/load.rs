use std::time::{Duration, SystemTime};

use crate::id::{BootId, VersionId};

/// An upstream's report of its load. It arrives with a delay.
#[derive(Clone, Debug, PartialEq)]
pub struct Load {
    /// The time that it describes.
    pub at: SystemTime,
    /// The start of the upstream's program.
    pub boot: BootId,
    /// Time since that start.
    pub uptime: Duration,
    /// Running requests.
    pub running: u32,
    /// Requests queued inside the upstream.
    pub waiting: u32,
    /// Requests that can run at once when warm.
    pub slots: u32,
    /// Fraction of the KV cache in use, from 0.0 to 1.0.
    pub kv_used: f64,
    /// The loaded versions; empty for a plain service.
    pub versions: Vec<VersionId>,
}
