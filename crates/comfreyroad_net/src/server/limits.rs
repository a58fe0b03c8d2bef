use std::time::Duration;

/// What a server takes from its callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Connections at once; more wait in the kernel's queue.
    pub max_connections: usize,
    /// Bytes of a request's line and headers; more are answered by 431.
    pub max_header_bytes: usize,
    /// Headers of a request; more are answered by 431.
    pub max_headers: usize,
    /// Time for a request's headers, also for the first byte of the next request on a connection.
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
