use std::time::Duration;

use indexmap::IndexMap;

use crate::VersionId;
use crate::slots::Size;

/// How an engine behaves.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Name of the VM.
    pub id: String,
    /// How many requests it bears.
    pub size: Size,
    /// Versions loaded at its start.
    pub versions: Vec<VersionId>,
    /// Whether old fencing numbers are refused.
    pub fencing: Fencing,
    /// Time to read one prompt token that isn't cached.
    pub prefill: Duration,
    /// Time per token of an answer when it runs alone.
    pub token: Duration,
    /// Part of the good answers by version, from 0.0 to 1.0; all are good of versions not named.
    pub quality: IndexMap<VersionId, f64>,
    /// Age of the load reports.
    pub report_lag: Duration,
    /// Time after which a cache event is told.
    pub event_lag: Duration,
    /// Part of the cache events that are never told, from 0.0 to 1.0.
    pub event_gaps: f64,
    /// Size of the prefix cache in tokens.
    pub cache_tokens: u32,
    /// Time to load a version, besides what the weight store takes.
    pub load: Duration,
    /// Address of the weight store, if versions come from it.
    pub weights: Option<String>,
}

/// What an engine does with fencing numbers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fencing {
    /// Refuses an order with an old number.
    #[default]
    Checked,
    /// Takes every order.
    Ignored,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            id: "eng".to_owned(),
            size: Size::default(),
            versions: Vec::new(),
            fencing: Fencing::default(),
            prefill: Duration::from_micros(100),
            token: Duration::from_millis(5),
            quality: IndexMap::new(),
            report_lag: Duration::from_millis(200),
            event_lag: Duration::from_millis(500),
            event_gaps: 0.05,
            cache_tokens: 50_000,
            load: Duration::from_secs(1),
            weights: None,
        }
    }
}
