use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::id::{Offset, PoolId};

/// A session that had the old version when a rollout began, and keeps it while few try the new one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Kept {
    /// The pool.
    pub pool: PoolId,
    /// Place of the order.
    pub order: Offset,
    /// The session.
    pub session: Arc<str>,
    /// Time until the session is over if no request of it comes.
    pub left: Duration,
}
