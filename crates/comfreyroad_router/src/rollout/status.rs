use serde::{Deserialize, Serialize};

use crate::id::{Offset, PoolId, VersionId};

/// How far a rollout is, as operators read it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// The pool.
    pub pool: PoolId,
    /// The version that it is about.
    pub target: VersionId,
    /// How far it is.
    pub state: State,
    /// Place of the order that it is about, which tells two rollouts of one version apart; 0 where it is not known.
    #[serde(rename = "order")]
    pub order_offset: Offset,
}

/// The states of a rollout.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum State {
    /// Both versions answer.
    InProgress,
    /// Only the new version answers.
    Completed,
    /// Only the old version answers.
    RolledBack,
}

impl State {
    /// Its name in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::InProgress => "in progress",
            Self::Completed => "completed",
            Self::RolledBack => "rolled back",
        }
    }
}
