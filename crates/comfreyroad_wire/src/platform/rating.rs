use serde::{Deserialize, Serialize};

/// An answer submitted to the rating service.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// Version that produced the answer, as `model@version`.
    pub version: String,
    /// Route of the request.
    pub route: String,
    /// Text of the request.
    pub prompt: String,
    /// Text of the answer.
    pub answer: String,
}

/// The rating service's verdict on an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Rating {
    /// Quality from 0.0 (useless) to 1.0 (perfect).
    pub score: f64,
    /// Whether the answer is good enough to be returned to a caller.
    pub good: bool,
}
