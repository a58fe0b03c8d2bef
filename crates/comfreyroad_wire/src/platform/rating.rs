use serde::{Deserialize, Serialize};

/// An answer handed to the rating service.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// The version that gave it, as `model@version`.
    pub version: String,
    /// The route on which it was asked.
    pub route: String,
    /// What was asked.
    pub prompt: String,
    /// What was answered.
    pub answer: String,
}

/// The rating service's word on an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Rating {
    /// From 0.0, useless, to 1.0, perfect.
    pub score: f64,
    /// Whether the answer is good enough to be given to a caller.
    pub good: bool,
}
