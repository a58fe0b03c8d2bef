use crate::id::{PoolId, PrefixHash, UpstreamId, VersionId};

/// Requirements of a request on the upstream that takes it.
#[derive(Clone, Debug)]
pub struct Requirements {
    /// The pool.
    pub pool: PoolId,
    /// The version that the upstream must have loaded; `None` for a plain service.
    pub version: Option<VersionId>,
    /// Hash of the prompt's prefix. The choice of an upstream does not use it.
    pub prefix: Option<PrefixHash>,
    /// An upstream that must not be chosen because it already has the request.
    pub excluded: Option<UpstreamId>,
    /// Seed of the random part of the choice, so that runs are reproducible.
    pub salt: u64,
}
