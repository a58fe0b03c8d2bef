use std::time::Duration;

/// What a server takes from its callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Connections at once; more wait in the kernel's queue.
    pub connections: usize,
    /// Bytes of a request's line and headers; more are answered by 431.
    pub header_bytes: usize,
    /// Headers of a request; more are answered by 431.
    pub headers: usize,
    /// Time for a request's headers, also for the first byte of the next request on a connection.
    pub header_time: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            connections: 10_000,
            header_bytes: 64 * 1024,
            headers: 100,
            header_time: Duration::from_secs(30),
        }
    }
}
