use std::time::{Duration, Instant};

/// Failures in a row after which an upstream is ejected.
const FAILURES: u32 = 3;
/// Time of the first ejection.
const EJECTION: Duration = Duration::from_secs(1);
/// Longest time of an ejection.
const MAX_EJECTION: Duration = Duration::from_secs(8);
/// Time without a failure after which ejections are short again.
const FORGIVEN: Duration = Duration::from_secs(20);

/// What this entry has seen of an upstream's failures: passive health checking with ejection.
#[derive(Clone, Copy, Debug, Default)]
pub struct Health {
    failures: u32,
    ejections: u32,
    ejected_until: Option<Instant>,
    failed_at: Option<Instant>,
}

impl Health {
    /// A request was answered.
    pub fn record_success(&mut self, now: Instant) {
        self.failures = 0;
        if self.failed_at.is_some_and(|at| at + FORGIVEN <= now) {
            self.ejections = 0;
        }
    }

    /// A request failed. Returns whether the upstream is ejected by it.
    pub fn record_failure(&mut self, now: Instant) -> bool {
        self.failed_at = Some(now);
        self.failures += 1;
        self.failures >= FAILURES && self.eject(now)
    }

    /// The upstream does not take connections. Returns whether it was not ejected before.
    pub fn eject(&mut self, now: Instant) -> bool {
        self.failed_at = Some(now);
        if self.is_ejected(now) {
            return false;
        }
        let lasts = EJECTION * 2_u32.saturating_pow(self.ejections);
        self.ejections = (self.ejections + 1).min(MAX_EJECTION.as_secs() as u32);
        self.ejected_until = Some(now + lasts.min(MAX_EJECTION));
        // One more failure after the ejection ejects it again.
        self.failures = FAILURES - 1;
        true
    }

    /// Whether it is to get no requests for now.
    pub fn is_ejected(&self, now: Instant) -> bool {
        self.ejected_until.is_some_and(|until| until > now)
    }
}
