//! Identifiers, all of them aliases.

use std::sync::Arc;

pub use comfreyroad::id::{
    Address, CustomerId, EntryId, Generation, ModelId, Offset, PoolId, RequestId, RouteId,
    UpstreamId, VersionId, ZoneId,
};

/// The key by which a customer proves who it is.
pub type ApiKey = Arc<str>;
/// A part of a prompt; equal parts have equal names.
pub type PromptPartId = Arc<str>;
/// The number of an event in a stream of events.
pub type EventId = u64;
/// One start of a program, in milliseconds since the Unix epoch.
pub type Incarnation = u64;
/// One call to the store, by this start of this entry.
pub type CallId = u64;
