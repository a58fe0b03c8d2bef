use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::id::{Offset, PoolId};

/// A session that keeps its version in a rollout while few try the new one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Kept {
    /// The pool.
    pub pool: PoolId,
    /// Place of the order.
    pub order: Offset,
    /// The session.
    pub session: Arc<str>,
    /// Whether it has the new version.
    pub has_moved: bool,
    /// Time until the session is over if no request of it comes.
    pub left: Duration,
}
