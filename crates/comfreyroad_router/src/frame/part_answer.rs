use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::answer::Milestone;
use crate::id::PromptPartId;

/// The last time that an answer to a prompt with a given part has reached a milestone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartAnswer {
    /// The part.
    #[serde(deserialize_with = "super::text::deserialize")]
    pub part: PromptPartId,
    /// The milestone.
    pub milestone: Milestone,
    /// Time since the answer reached it. It is sent as an age, because the clocks of entries differ.
    pub age: Duration,
}
