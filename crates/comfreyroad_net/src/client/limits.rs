use std::time::Duration;

/// What a client keeps open.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Idle connections to one address.
    pub idle: usize,
    /// How long a connection stays open without a request. It should be less than the peer allows.
    pub idle_time: Duration,
    /// Time for a connection to be made.
    pub connect_time: Duration,
    /// Bytes of an answer's status line and headers.
    pub header_bytes: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            idle: 32,
            idle_time: Duration::from_secs(10),
            connect_time: Duration::from_secs(5),
            header_bytes: 64 * 1024,
        }
    }
}
