use std::sync::Arc;
use std::time::Instant;

use comfreyroad::id::{AttemptTag, CustomerId, Generation, RequestId, UpstreamId, VersionId};
use comfreyroad::rules::Rules;

use super::node::Instance;

/// Events of a run that the invariants are checked against.
#[derive(Default)]
pub(crate) struct Journal {
    pub(crate) accepted: Vec<Accepted>,
    pub(crate) applied: Vec<Applied>,
    pub(crate) dispatches: Vec<Dispatch>,
    pub(crate) runs: Vec<Run>,
    pub(crate) overloads: Vec<Overload>,
    pub(crate) at_risk: Vec<String>,
    pub(crate) holds: Vec<Hold>,
}

/// A hold of a version on the log.
pub(crate) struct Hold {
    pub(crate) at: Instant,
    pub(crate) version: VersionId,
    /// Whether a publish earlier on the log had already lifted it.
    pub(crate) is_lifted: bool,
}

/// Rules that came into force by the order of the log.
pub(crate) struct Accepted {
    pub(crate) at: Instant,
    pub(crate) generation: Generation,
    pub(crate) rules: Arc<Rules>,
}

/// A change of the generation in force at one instance of an entry.
pub(crate) struct Applied {
    pub(crate) instance: Instance,
    pub(crate) generation: Generation,
}

/// A request sent to an upstream.
pub(crate) struct Dispatch {
    pub(crate) at: Instant,
    pub(crate) instance: Instance,
    pub(crate) call: usize,
    pub(crate) tag: AttemptTag,
    pub(crate) upstream: UpstreamId,
    pub(crate) version: Option<VersionId>,
    pub(crate) customer: CustomerId,
    pub(crate) generation: Generation,
}

/// A request that an upstream has begun to execute.
pub(crate) struct Run {
    pub(crate) tag: AttemptTag,
    pub(crate) request: RequestId,
    pub(crate) upstream: UpstreamId,
}

/// An overload of a starting upstream.
pub(crate) struct Overload {
    pub(crate) at: Instant,
    pub(crate) upstream: UpstreamId,
    pub(crate) in_flight: u32,
    pub(crate) capacity: u32,
    pub(crate) crashed: bool,
}
