//! Type aliases for identifiers.

use std::sync::Arc;

/// A customer of one of the firms.
pub type CustomerId = Arc<str>;
/// A firm of the venture.
pub type FirmId = Arc<str>;
/// An availability zone.
pub type ZoneId = Arc<str>;
/// A pool of interchangeable upstreams.
pub type PoolId = Arc<str>;
/// A model, without its version.
pub type ModelId = Arc<str>;
/// A model and version, as `model@version`.
pub type VersionId = Arc<str>;
/// The hash of a session whose caller chose its id.
pub type SessionHash = u64;
/// A lane, the unit in which requests share upstreams: a version, or the pool of a plain service.
pub type LaneId = Arc<str>;
/// A route: a name under which callers request any of several models.
pub type RouteId = Arc<str>;
/// An upstream: a model engine or a plain service.
pub type UpstreamId = Arc<str>;
/// A start of the program of an upstream or an entry.
pub type BootId = Arc<str>;
/// An entry.
pub type EntryId = Arc<str>;
/// A request id chosen by the caller, the same on each retry.
pub type RequestId = Arc<str>;
/// An IP number and port, as text.
pub type Address = Arc<str>;
/// A call at this entry, from its arrival to the end of its answer.
pub type CallId = u64;
/// An attempt of a request at an upstream, unique within one start of this entry.
pub type AttemptId = u64;
/// The id of an attempt that upstreams see, unique across all entries.
pub type AttemptTag = Arc<str>;
/// A pending append.
pub type BatchId = u64;
/// A position in a stream of the log.
pub type Offset = u64;
/// The number of a configuration, increased by each accepted publish.
pub type Generation = u64;
/// The keyed hash of a customer's key, as the rules contain it.
pub type KeyHash = [u8; 32];
/// The hash of a prompt's prefix.
pub type PrefixHash = u64;
