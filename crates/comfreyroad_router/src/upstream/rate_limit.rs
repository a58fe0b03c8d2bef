use std::time::Instant;

/// The last statement of an upstream about its rate limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateLimit {
    /// Requests per second that it takes from all entries together; `None` if it has no limit any more.
    pub rate: Option<f64>,
    /// When the statement arrived.
    pub stated_at: Instant,
    /// Whether another entry has received the statement and passed it on.
    pub is_relayed: bool,
}
