use std::time::Duration;

/// Limits on a server's connections and requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum number of open connections; further ones wait in the kernel's queue.
    pub max_connections: usize,
    /// Maximum size of a request's line and headers; a larger request is answered with status 431.
    pub max_header_bytes: usize,
    /// Maximum number of headers of a request; a request with more is answered with status 431.
    pub max_headers: usize,
    /// Time limit for receiving a request's headers. It also limits the wait for the next request on a connection.
    pub header_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_connections: 10_000,
            max_header_bytes: 64 * 1024,
            max_headers: 100,
            header_timeout: Duration::from_secs(30),
        }
    }
}
