//! The current time, which is always passed in.

use std::time::{Duration, Instant, SystemTime};

/// The time at which an event is handled, by both clocks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Now {
    /// Monotonic time, for timeouts and deadlines.
    pub instant: Instant,
    /// Wall-clock time, for data that leaves the process.
    pub system: SystemTime,
}

/// Time to an instant that stands for all that cannot be represented.
const FAR: Duration = Duration::from_secs(10 * 365 * 24 * 60 * 60);

/// The instant after a time that another process has sent. An instant that cannot be represented becomes one far away.
pub fn after(instant: Instant, time: Duration) -> Instant {
    instant.checked_add(time).unwrap_or_else(|| instant + FAR)
}
