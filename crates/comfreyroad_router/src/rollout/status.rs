use serde::{Deserialize, Serialize};

use crate::id::{PoolId, VersionId};

/// The status of a rollout, published for operators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// The pool that is rolled out.
    pub pool: PoolId,
    /// The version that the rollout moves to.
    pub target: VersionId,
    /// The state of the rollout.
    pub state: State,
    /// Offset of the rollout's order in its era, which tells two rollouts of the same version apart; 0 if unknown.
    #[serde(rename = "order")]
    pub order_offset: u64,
    /// Other versions that were replaced, rolled back or given up, so that entries that start later know them.
    pub withdrawn: Vec<VersionId>,
}

/// The state of a rollout.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum State {
    /// Both versions serve requests.
    InProgress,
    /// Only the new version serves requests.
    Completed,
    /// Only the old version serves requests.
    RolledBack,
}

impl State {
    /// The name used in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::InProgress => "in progress",
            Self::Completed => "completed",
            Self::RolledBack => "rolled back",
        }
    }
}
