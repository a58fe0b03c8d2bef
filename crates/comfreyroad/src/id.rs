//! Identifiers, all of them aliases.

use std::sync::Arc;

/// A customer of one of the firms.
pub type CustomerId = Arc<str>;
/// A firm of the venture.
pub type FirmId = Arc<str>;
/// An availability zone.
pub type ZoneId = Arc<str>;
/// A pool of upstreams that serve the same.
pub type PoolId = Arc<str>;
/// A model, without its version.
pub type ModelId = Arc<str>;
/// A model and version, as `model@version`.
pub type VersionId = Arc<str>;
/// The hash of a session that its caller names itself.
pub type SessionHash = u64;
/// What shares upstreams: a version, or the pool of a plain service.
pub type LaneId = Arc<str>;
/// A route: a name under which callers ask for one of several models.
pub type RouteId = Arc<str>;
/// An upstream: a model engine or a plain service.
pub type UpstreamId = Arc<str>;
/// One start of an upstream's or an entry's program.
pub type BootId = Arc<str>;
/// An entry.
pub type EntryId = Arc<str>;
/// A request, as its caller names it; the same on each retry.
pub type RequestId = Arc<str>;
/// An IP number and port, in text.
pub type Address = Arc<str>;
/// One call at this entry, from its arrival to the end of its answer.
pub type CallId = u64;
/// One sending of a request to an upstream, by this start of this entry.
pub type AttemptId = u64;
/// An attempt's name towards upstreams, unique among all entries.
pub type AttemptTag = Arc<str>;
/// One append under way.
pub type BatchId = u64;
/// A place in a stream of the log.
pub type Offset = u64;
/// The number of a configuration; rises with each accepted publish.
pub type Generation = u64;
/// The keyed hash under which the rules know a customer's key.
pub type KeyHash = [u8; 32];
/// The hash of a prompt's prefix.
pub type PrefixHash = u64;
