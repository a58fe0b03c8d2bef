use std::time::Instant;

/// The load that an upstream reports in an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Load {
    /// Requests being processed.
    pub running: u32,
    /// Requests queued at the upstream.
    pub waiting: u32,
    /// Requests that the upstream can process concurrently.
    pub slots: u32,
    /// When the report arrived.
    pub reported_at: Instant,
    /// Open requests of this entry at that time.
    pub own_requests: u32,
    /// Whether another entry has received the report and passed it on.
    pub is_relayed: bool,
}

impl Load {
    /// Requests running and waiting.
    pub fn requests(&self) -> u32 {
        self.running.saturating_add(self.waiting)
    }

    /// Requests of other entries at the time of the report.
    pub fn other_requests(&self) -> u32 {
        self.requests().saturating_sub(self.own_requests)
    }
}
