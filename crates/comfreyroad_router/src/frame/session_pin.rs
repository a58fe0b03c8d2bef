use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::id::{PoolId, Position};

/// A session that stays on its version during the canary phase of a rollout.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SessionPin {
    /// The pool that is rolled out.
    #[serde(deserialize_with = "super::text::deserialize")]
    pub pool: PoolId,
    /// Position of the rollout's order.
    #[serde(rename = "order")]
    pub order_offset: Position,
    /// The session key.
    #[serde(deserialize_with = "super::text::deserialize")]
    pub session: Arc<str>,
    /// Whether the session is pinned to the new version.
    #[serde(rename = "has_moved")]
    pub is_on_target: bool,
    /// Time until the session expires if no further request arrives.
    #[serde(rename = "left")]
    pub expires_in: Duration,
}
