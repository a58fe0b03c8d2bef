use std::sync::Arc;

use super::Plan;
use crate::id::{SessionHash, VersionId};

/// Versions and session chosen for a request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Choice {
    /// The versions to try, in order.
    pub plan: Plan,
    /// The session token to return to the caller.
    pub session: Option<Arc<str>>,
    /// The session, if the caller identifies it by an id of its own.
    pub caller_session: Option<SessionHash>,
    /// The previous version of the session, if the session had to move.
    pub moved_from: Option<VersionId>,
}
