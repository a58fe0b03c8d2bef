use std::time::Duration;

/// What a client keeps open.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Idle connections to one address.
    pub max_idle: usize,
    /// How long a connection stays open without a request. It should be less than the peer allows.
    pub idle_timeout: Duration,
    /// Time for a connection to be made.
    pub connect_timeout: Duration,
    /// Bytes of an answer's status line and headers.
    pub max_header_bytes: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_idle: 32,
            idle_timeout: Duration::from_secs(10),
            connect_timeout: Duration::from_secs(5),
            max_header_bytes: 64 * 1024,
        }
    }
}
