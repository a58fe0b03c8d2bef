use crate::id::{PoolId, PrefixHash, UpstreamId, VersionId};

/// What an upstream must offer to take a request.
#[derive(Clone, Debug)]
pub struct Requirements {
    /// The pool.
    pub pool: PoolId,
    /// The version that it must have loaded.
    pub version: Option<VersionId>,
    /// Prefix that would best be in its cache.
    pub prefix: Option<PrefixHash>,
    /// An upstream that has the request already.
    pub excluded: Option<UpstreamId>,
    /// Makes the random part of the choice, the same in each run.
    pub salt: u64,
}
