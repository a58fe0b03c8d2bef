use std::time::Instant;

/// That an upstream has stated that it is about to leave.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Leaving {
    /// When the first statement arrived.
    pub stated_at: Instant,
    /// Whether another entry has received the statement and passed it on.
    pub is_relayed: bool,
}
