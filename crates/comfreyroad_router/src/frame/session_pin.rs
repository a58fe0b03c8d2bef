use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::id::{Offset, PoolId};

/// A session that keeps its version in a rollout while few try the new one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SessionPin {
    /// The pool.
    pub pool: PoolId,
    /// Place of the order.
    #[serde(rename = "order")]
    pub order_offset: Offset,
    /// The session.
    pub session: Arc<str>,
    /// Whether it has the new version.
    #[serde(rename = "has_moved")]
    pub is_on_target: bool,
    /// Time until the session is over if no request of it comes.
    #[serde(rename = "left")]
    pub expires_in: Duration,
}
