//! The current time, which is always passed in.

use std::time::{Instant, SystemTime};

/// The time at which an event is handled, by both clocks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Now {
    /// Monotonic time, for timeouts and deadlines.
    pub instant: Instant,
    /// Wall-clock time, for data that leaves the process.
    pub system: SystemTime,
}
