use std::time::Instant;

use crate::id::{PoolId, RouteId, VersionId};
use crate::request::{Request, Sent};

/// An attempt at a request, as far as it counts for a rollout.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Attempt<'a> {
    pub(crate) pool: &'a PoolId,
    pub(crate) version: &'a VersionId,
    pub(crate) route: &'a RouteId,
    pub(crate) sent_at: Instant,
    /// Whether an earlier attempt at the same request failed. Some requests fail wherever they run, so that the outcomes of
    /// several attempts are no independent samples.
    pub(crate) is_after_failure: bool,
}

impl<'a> Attempt<'a> {
    /// The attempt at a request that was sent.
    pub(crate) fn of(request: &'a Request<Sent>) -> Self {
        let stage = request.stage();
        Self {
            pool: &stage.slot.pool,
            version: &stage.slot.version,
            route: &stage.plan().route.id,
            sent_at: stage.sent_at,
            is_after_failure: stage.plan().has_failed,
        }
    }
}

/// What an attempt is counted for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Group {
    /// The new version, while it gets a small share.
    Canary,
    /// The new version, since it gets all requests.
    Cutover,
    /// The other versions.
    Others,
}
