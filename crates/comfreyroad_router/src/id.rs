//! Identifiers, as type aliases.

use std::sync::Arc;

pub use comfreyroad::id::{
    Address, CustomerId, EntryId, Generation, ModelId, PoolId, RequestId, RouteId, UpstreamId,
    VersionId, ZoneId,
};

/// The key with which a customer authenticates.
pub type ApiKey = Arc<str>;
/// Identifies a part of a prompt; equal parts have equal ids.
pub type PromptPartId = Arc<str>;
/// The number of an event in a stream.
pub type EventId = u64;
/// Start time of a process in milliseconds since the Unix epoch, which tells its restarts apart.
pub type Incarnation = u64;
/// Number of the times that the store was restored from a copy, as the store counts them.
pub type Era = u64;
/// A position in a topic, ordered by the era of the store first. See [`position`](crate::record::position).
pub type Position = u64;
/// Identifies one call to the store by this process.
pub type CallId = u64;
