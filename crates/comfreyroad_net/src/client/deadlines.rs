use std::time::Instant;

/// Deadlines of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Deadlines {
    /// For opening a connection, if no idle one can be used.
    pub connect: Instant,
    /// For the head of the response.
    pub response: Instant,
}
