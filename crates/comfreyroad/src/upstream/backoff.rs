use std::time::{Duration, Instant};

/// Backoff after the first failure.
const FAILURE_BACKOFF: Duration = Duration::from_millis(250);
/// Backoff after the first answer that says that the upstream is full.
const BUSY_BACKOFF: Duration = Duration::from_millis(50);
/// Limit on the doublings of a backoff.
const MAX_DOUBLINGS: u32 = 5;

/// Exponential backoff of an upstream that fails or is full.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Backoff {
    until: Option<Instant>,
    failures: u32,
}

impl Backoff {
    /// Whether the upstream gets no requests for now.
    pub fn is_active(&self, now: Instant) -> bool {
        self.until.is_some_and(|until| until > now)
    }

    pub(crate) fn record_failure(&mut self, now: Instant) {
        self.extend(now, FAILURE_BACKOFF);
    }

    pub(crate) fn record_busy(&mut self, now: Instant) {
        self.extend(now, BUSY_BACKOFF);
    }

    pub(crate) fn reset(&mut self) {
        *self = Self::default();
    }

    fn extend(&mut self, now: Instant, first: Duration) {
        // Requests that were in flight together and failed together count as one failure.
        if self.is_active(now) {
            return;
        }
        self.until = Some(now + first * 2_u32.pow(self.failures.min(MAX_DOUBLINGS)));
        self.failures = self.failures.saturating_add(1);
    }
}
