use serde::{Deserialize, Serialize};

/// How far an upstream has got with an answer beyond its beginning. Before and shortly after the first event it has reached none.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Milestone {
    /// Events still arrive a while after the first one.
    Continued,
    /// The answer is complete.
    Complete,
}

impl Milestone {
    /// All milestones, in the order in which an answer reaches them.
    pub const ALL: [Self; 2] = [Self::Continued, Self::Complete];

    /// The name used in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Continued => "continued",
            Self::Complete => "complete",
        }
    }
}
