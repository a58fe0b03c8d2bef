use std::time::{Duration, Instant};

/// Consecutive failures after which an upstream is ejected.
const FAILURES_TO_EJECT: u32 = 3;
/// Duration of the first ejection; doubles with each further one.
const BASE_EJECTION: Duration = Duration::from_secs(1);
/// Maximum duration of an ejection.
const MAX_EJECTION: Duration = Duration::from_secs(8);
/// Time without a failure after which the ejection duration starts from its base again.
const EJECTION_RESET: Duration = Duration::from_secs(20);

/// Passive health check of an upstream: ejects it after consecutive failures seen by this entry.
#[derive(Clone, Copy, Debug, Default)]
pub struct Health {
    failures: u32,
    ejections: u32,
    ejected_until: Option<Instant>,
    last_failure: Option<Instant>,
}

impl Health {
    /// Records an answered request.
    pub fn record_success(&mut self, now: Instant) {
        self.failures = 0;
        if self
            .last_failure
            .is_some_and(|at| at + EJECTION_RESET <= now)
        {
            self.ejections = 0;
        }
    }

    /// Records a failed request. Returns whether it causes an ejection.
    pub fn record_failure(&mut self, now: Instant) -> bool {
        self.last_failure = Some(now);
        self.failures += 1;
        self.failures >= FAILURES_TO_EJECT && self.eject(now)
    }

    /// Ejects the upstream, for example because it refuses connections. Returns false if it is already ejected.
    pub fn eject(&mut self, now: Instant) -> bool {
        self.last_failure = Some(now);
        if self.is_ejected(now) {
            return false;
        }
        let duration = BASE_EJECTION * 2_u32.saturating_pow(self.ejections);
        self.ejections = (self.ejections + 1).min(MAX_EJECTION.as_secs() as u32);
        self.ejected_until = Some(now + duration.min(MAX_EJECTION));
        // A single failure after the ejection ejects the upstream again.
        self.failures = FAILURES_TO_EJECT - 1;
        true
    }

    /// Whether the upstream is ejected and gets no requests.
    pub fn is_ejected(&self, now: Instant) -> bool {
        self.ejected_until.is_some_and(|until| until > now)
    }
}
