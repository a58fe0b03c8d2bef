use std::time::{Duration, Instant};

/// First pause after a failure.
const FIRST: Duration = Duration::from_millis(250);
/// First pause after the upstream has said that it is full.
const BUSY: Duration = Duration::from_millis(50);
/// Doublings of a pause at most.
const DOUBLINGS: u32 = 5;

/// Pauses that grow as long as an upstream fails.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Pause {
    until: Option<Instant>,
    failures: u32,
}

impl Pause {
    /// Whether the upstream is to be left alone.
    pub fn is_on(&self, now: Instant) -> bool {
        self.until.is_some_and(|until| until > now)
    }

    pub(crate) fn fail(&mut self, now: Instant) {
        self.extend(now, FIRST);
    }

    pub(crate) fn refuse(&mut self, now: Instant) {
        self.extend(now, BUSY);
    }

    pub(crate) fn reset(&mut self) {
        *self = Self::default();
    }

    fn extend(&mut self, now: Instant, first: Duration) {
        // Failures of requests that were under way together count once.
        if self.is_on(now) {
            return;
        }
        self.until = Some(now + first * 2_u32.pow(self.failures.min(DOUBLINGS)));
        self.failures = self.failures.saturating_add(1);
    }
}
