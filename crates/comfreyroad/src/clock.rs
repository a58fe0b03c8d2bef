//! The time, always passed in.

use std::time::{Instant, SystemTime};

/// The moment at which an event is handled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Now {
    /// For deadlines.
    pub instant: Instant,
    /// For what leaves the process.
    pub system: SystemTime,
}
