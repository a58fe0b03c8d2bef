use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::id::PromptPartId;

/// The last time that an upstream has begun to answer a prompt with a given part.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartAnswer {
    /// The part.
    #[serde(deserialize_with = "super::text::deserialize")]
    pub part: PromptPartId,
    /// Time since the answer began. It is sent as an age, because the clocks of entries differ.
    pub age: Duration,
}
