use std::time::{Duration, Instant};

/// When a request that is begun now is expected to be answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Estimate {
    /// When its first event is expected.
    pub first_event_at: Instant,
    /// When its last event is expected, at the median.
    pub last_event_at: Instant,
    /// When nine in ten such answers are complete.
    pub late_last_event_at: Instant,
    /// Time for which it occupies a slot, at the mean.
    pub work: Duration,
}
