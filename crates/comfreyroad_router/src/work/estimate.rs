use std::time::Instant;

/// When a request that is begun now is expected to be answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Estimate {
    /// When the first event of a stream is expected, or a plain answer.
    pub first_event_at: Instant,
    /// When the last event is expected: half of the answers take longer.
    pub last_event_at: Instant,
    /// When nine in ten such answers are complete.
    pub late_last_event_at: Instant,
}
