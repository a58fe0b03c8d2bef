use std::time::Duration;

use indexmap::IndexMap;

use crate::VersionId;
use crate::slots::Capacity;

/// Behaviour of a model engine.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Id of the VM.
    pub id: String,
    /// Capacity for concurrent and queued requests.
    pub capacity: Capacity,
    /// Versions loaded at the start.
    pub versions: Vec<VersionId>,
    /// Whether orders with a stale fencing token are refused.
    pub fencing: Fencing,
    /// Prefill time per prompt token that is not cached.
    pub prefill_time: Duration,
    /// Decode time per token when no other request runs.
    pub token_time: Duration,
    /// Share of good answers by version, from 0.0 to 1.0; 1.0 for versions that are not named.
    pub good_share: IndexMap<VersionId, f64>,
    /// Maximum age of a load report.
    pub report_lag: Duration,
    /// Delay until a cache event becomes visible.
    pub event_lag: Duration,
    /// Share of the cache events that are dropped, from 0.0 to 1.0.
    pub event_gaps: f64,
    /// Capacity of the prefix cache in tokens.
    pub cache_tokens: u32,
    /// Time to load a version once its weights are downloaded.
    pub load_time: Duration,
    /// Address of the weight store, if versions are downloaded from one.
    pub weights: Option<String>,
}

/// How an engine handles fencing tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fencing {
    /// Refuses an order with a stale token.
    #[default]
    Checked,
    /// Accepts every order.
    Ignored,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            id: "eng".to_owned(),
            capacity: Capacity::default(),
            versions: Vec::new(),
            fencing: Fencing::default(),
            prefill_time: Duration::from_micros(100),
            token_time: Duration::from_millis(5),
            good_share: IndexMap::new(),
            report_lag: Duration::from_millis(200),
            event_lag: Duration::from_millis(500),
            event_gaps: 0.05,
            cache_tokens: 50_000,
            load_time: Duration::from_secs(1),
            weights: None,
        }
    }
}
