use std::sync::Arc;
use std::time::Instant;

use comfreyroad::id::{AttemptTag, CustomerId, Generation, RequestId, UpstreamId, VersionId};
use comfreyroad::rules::Rules;

use super::node::Post;

/// What happened, for the promises to be held against.
#[derive(Default)]
pub(crate) struct Journal {
    pub(crate) accepted: Vec<Accepted>,
    pub(crate) enacted: Vec<Enacted>,
    pub(crate) sendings: Vec<Sending>,
    pub(crate) runs: Vec<Run>,
    pub(crate) overloads: Vec<Overload>,
    pub(crate) at_risk: Vec<String>,
    pub(crate) holds: Vec<Hold>,
}

/// A version held on the log.
pub(crate) struct Hold {
    pub(crate) at: Instant,
    pub(crate) version: VersionId,
    /// Whether a publish before it had lifted it already.
    pub(crate) is_lifted: bool,
}

/// Rules that the log's order brought into force.
pub(crate) struct Accepted {
    pub(crate) at: Instant,
    pub(crate) generation: Generation,
    pub(crate) rules: Arc<Rules>,
}

/// A generation that one start of an entry went over to.
pub(crate) struct Enacted {
    pub(crate) post: Post,
    pub(crate) generation: Generation,
}

/// A request on its way to an upstream.
pub(crate) struct Sending {
    pub(crate) at: Instant,
    pub(crate) post: Post,
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

/// More at a starting upstream than it bears.
pub(crate) struct Overload {
    pub(crate) at: Instant,
    pub(crate) upstream: UpstreamId,
    pub(crate) given: u32,
    pub(crate) bears: u32,
    pub(crate) fell_over: bool,
}
