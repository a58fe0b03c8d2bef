use serde::{Deserialize, Serialize};

/// An upstream's report of its load.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// Time at which the report was made, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Id of the current run of the program; changes at each start.
    pub boot: String,
    /// Milliseconds since the start of the program.
    pub uptime_ms: u64,
    /// Requests that are being executed.
    pub running: u32,
    /// Requests that are queued inside the upstream.
    pub waiting: u32,
    /// Requests that the upstream can execute concurrently when warm.
    pub slots: u32,
    /// Fraction of the KV cache in use, from 0.0 to 1.0.
    pub kv_used: f64,
    /// Versions loaded, as `model@version`; empty for plain services.
    #[serde(default)]
    pub versions: Vec<String>,
    /// `prefill`, `decode` or `both`.
    #[serde(default)]
    pub role: String,
}
