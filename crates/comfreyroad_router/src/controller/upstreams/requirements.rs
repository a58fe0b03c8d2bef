use std::time::Duration;

use crate::id::{ModelId, PoolId, UpstreamId, VersionId};
use crate::work::Demand;

/// What a request requires of an upstream, and what its choice depends on.
#[derive(Clone, Debug)]
pub struct Requirements<'a> {
    /// The pool that the upstream must belong to.
    pub pool: &'a PoolId,
    /// The model that it must have loaded; `None` if any will do.
    pub model: Option<&'a ModelId>,
    /// The versions that may serve the request.
    pub versions: Versions,
    /// Hash of the key of the requests whose prompts share a prefix, which one upstream's cache can serve.
    pub affinity: Option<u64>,
    /// What it is expected to take.
    pub demand: Demand,
    /// Mean work of the pool's requests, if known.
    pub mean_work: Option<Duration>,
    /// Upstreams that are excluded, as they were already tried.
    pub excluded: &'a [UpstreamId],
    /// Whether the request is well placed where it is, so that only an upstream will do that is healthy and has a free slot, as far as
    /// its load is known.
    pub is_optional: bool,
    /// Whether it was sent before, so that it must not be the one that tries an upstream again after a failure.
    pub is_retry: bool,
    /// Hash of the request, by which it chooses among upstreams that all entries see alike.
    pub salt: u64,
}

/// The versions that may serve a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Versions {
    /// Any version.
    Any,
    /// Only this version.
    Only(VersionId),
    /// Any version except these.
    Except(Vec<VersionId>),
}

impl Versions {
    /// Whether a version may serve the request.
    pub fn allows(&self, version: &VersionId) -> bool {
        match self {
            Self::Any => true,
            Self::Only(only) => only == version,
            Self::Except(excepted) => !excepted.contains(version),
        }
    }
}
