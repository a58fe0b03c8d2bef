use std::time::Duration;

/// What a complete answer took.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Answer {
    /// Number of events of a stream.
    pub events: u32,
    /// Time per event, or of a whole plain answer.
    pub pace: Option<Duration>,
    /// Time for which it occupied a slot.
    pub work: Duration,
}
