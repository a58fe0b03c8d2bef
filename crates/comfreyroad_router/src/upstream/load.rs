use std::time::Instant;

/// What an upstream reports of its load in an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Load {
    /// Requests that it works on.
    pub running: u32,
    /// Requests that wait there.
    pub waiting: u32,
    /// Requests that it works on at once.
    pub slots: u32,
    /// When it was reported.
    pub reported_at: Instant,
    /// Requests that this entry had there at that moment.
    pub own_requests: u32,
}

impl Load {
    /// Requests of other entries at that moment.
    pub fn other_requests(&self) -> u32 {
        (self.running + self.waiting).saturating_sub(self.own_requests)
    }
}
