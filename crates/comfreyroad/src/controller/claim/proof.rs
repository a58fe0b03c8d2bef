use std::time::Instant;

/// Evidence that a claim is the first on the log. Only this controller makes one, from the log's own order.
#[derive(Debug)]
pub struct Proof {
    until: Instant,
}

impl Proof {
    pub(super) fn new(until: Instant) -> Self {
        Self { until }
    }

    /// Whether the claim is too old to be used.
    ///
    /// After the horizon other entries no longer know the claim, so its holder stops well before that.
    pub fn is_expired(&self, now: Instant) -> bool {
        now >= self.until
    }
}
