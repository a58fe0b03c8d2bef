use serde::{Deserialize, Serialize};

/// An upstream's report of its load.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// When the report was true, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Changes with each start of the program.
    pub boot: String,
    /// Milliseconds since that start.
    pub uptime_ms: u64,
    /// Requests that run.
    pub running: u32,
    /// Requests that wait inside the upstream.
    pub waiting: u32,
    /// Requests that can run at once when warm.
    pub slots: u32,
    /// Part of the KV cache in use, from 0.0 to 1.0.
    pub kv_used: f64,
    /// Versions loaded, as `model@version`; empty for plain services.
    #[serde(default)]
    pub versions: Vec<String>,
    /// `prefill`, `decode` or `both`.
    #[serde(default)]
    pub role: String,
}
