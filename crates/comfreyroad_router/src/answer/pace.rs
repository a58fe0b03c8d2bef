use std::time::Duration;

/// How fast the events of a stream arrive.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pace {
    /// Number of gaps between two events so far.
    pub gaps: u32,
    /// Mean time between two events.
    pub mean_gap: Duration,
}
