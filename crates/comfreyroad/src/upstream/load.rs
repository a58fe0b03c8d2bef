use std::time::{Duration, SystemTime};

use crate::id::{BootId, VersionId};

/// An upstream's report of its load, late by a lag.
#[derive(Clone, Debug, PartialEq)]
pub struct Load {
    /// When it was true.
    pub at: SystemTime,
    /// The start of the upstream's program.
    pub boot: BootId,
    /// Time since that start.
    pub uptime: Duration,
    /// Requests that run.
    pub running: u32,
    /// Requests that wait inside the upstream.
    pub waiting: u32,
    /// Requests that can run at once when warm.
    pub slots: u32,
    /// Part of the KV cache in use, from 0.0 to 1.0.
    pub kv_used: f64,
    /// Versions loaded; empty for a plain service.
    pub versions: Vec<VersionId>,
}
