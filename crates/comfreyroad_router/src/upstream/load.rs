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
    /// Time that work takes there at this moment, in percent of the usual. It changes within a second.
    pub work_time_percent: u32,
    /// When the report arrived.
    pub reported_at: Instant,
    /// Open requests of this entry at that time.
    pub own_requests: u32,
    /// Whether another entry has received the report and passed it on.
    pub is_relayed: bool,
}

impl Load {
    /// The usual time that work takes, in percent of itself.
    pub const USUAL_WORK_TIME: u32 = 100;

    /// Requests running and waiting.
    pub fn requests(&self) -> u32 {
        self.running.saturating_add(self.waiting)
    }

    /// Requests of other entries at the time of the report.
    pub fn other_requests(&self) -> u32 {
        self.requests().saturating_sub(self.own_requests)
    }
}
