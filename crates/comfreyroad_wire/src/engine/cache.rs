use serde::{Deserialize, Serialize};

/// A page of an engine's cache events.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvents {
    /// Sequence number at which the next page starts.
    pub next: u64,
    /// Events in ascending order of sequence number; the numbers may have gaps.
    pub events: Vec<CacheEvent>,
}

/// One change to an engine's prefix cache.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Sequence number of the event.
    pub seq: u64,
    /// Kind of the change.
    pub op: CacheOp,
    /// Hash of the prefix in hexadecimal; empty for `Cleared`.
    pub prefix: String,
    /// Length of the prefix in tokens.
    pub tokens: u32,
}

/// Kind of a change to the prefix cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum CacheOp {
    /// The prefix was added to the cache.
    Stored,
    /// The prefix was evicted from the cache.
    Evicted,
    /// The whole cache was cleared.
    Cleared,
}
