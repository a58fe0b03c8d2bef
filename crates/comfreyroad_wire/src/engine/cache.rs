use serde::{Deserialize, Serialize};

/// A page of an engine's cache events.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvents {
    /// Number to ask from next time.
    pub next: u64,
    /// Events by rising number, with gaps.
    pub events: Vec<CacheEvent>,
}

/// One change of an engine's prefix cache.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Number of the event.
    pub seq: u64,
    /// What happened.
    pub op: CacheOp,
    /// Hash of the prefix, in hexadecimal; empty when everything was cleared.
    pub prefix: String,
    /// Length of the prefix in tokens.
    pub tokens: u32,
}

/// Kind of a cache event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum CacheOp {
    /// The prefix is in the cache.
    Stored,
    /// The prefix has left the cache.
    Evicted,
    /// The whole cache is empty.
    Cleared,
}
