use std::sync::Arc;

use super::Plan;
use crate::id::{SessionHash, VersionId};

/// Which version answers a request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Choice {
    /// The versions to try, in order.
    pub plan: Plan,
    /// The session token to hand back.
    pub session: Option<Arc<str>>,
    /// The session, where the caller names it itself.
    pub own_id: Option<SessionHash>,
    /// The version that the session had before, where it had to move.
    pub moved_from: Option<VersionId>,
}
