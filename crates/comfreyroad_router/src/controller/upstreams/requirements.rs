use std::sync::Arc;

use crate::id::{ModelId, PoolId, UpstreamId, VersionId};

/// What an upstream must offer.
#[derive(Clone, Debug)]
pub struct Requirements<'a> {
    /// The pool.
    pub pool: &'a PoolId,
    /// The model; none where any will do.
    pub model: Option<&'a ModelId>,
    /// The version.
    pub version: VersionConstraint,
    /// What requests that profit from each other's cache have in common.
    pub affinity: Option<Arc<str>>,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Those of them that a cache may hold.
    pub cacheable_tokens: u32,
    /// Upstreams that were tried.
    pub tried: &'a [UpstreamId],
    /// A number that spreads requests without affinity.
    pub salt: u64,
}

/// Which versions will do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum VersionConstraint {
    /// Any.
    Any,
    /// This one alone.
    Only(VersionId),
    /// Any but this one.
    Except(VersionId),
}

impl VersionConstraint {
    /// Whether a version will do.
    pub fn allows(&self, version: &VersionId) -> bool {
        match self {
            Self::Any => true,
            Self::Only(only) => only == version,
            Self::Except(excepted) => excepted != version,
        }
    }
}
