use std::time::Duration;

/// Limits on a client's connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum number of idle connections per address.
    pub max_idle: usize,
    /// Time for which an idle connection stays open. It should be shorter than the idle timeout of the peer.
    pub idle_timeout: Duration,
    /// Time limit for opening a connection.
    pub connect_timeout: Duration,
    /// Maximum size of a response's status line and headers.
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
