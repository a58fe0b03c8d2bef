use std::time::Instant;

/// Maximum number of samples that accumulate.
const MAX_SAVED: f64 = 4.0;

/// Token bucket of the samples that this entry may send to the rating service: its part of the fleet's limit.
#[derive(Debug)]
pub(super) struct Budget {
    samples_per_s: f64,
    saved: f64,
    updated_at: Option<Instant>,
}

impl Budget {
    /// Creates a budget that refills at a rate.
    pub(super) fn new(samples_per_s: f64) -> Self {
        Self {
            samples_per_s,
            saved: 1.0,
            updated_at: None,
        }
    }

    pub(super) fn set_rate(&mut self, samples_per_s: f64) {
        self.samples_per_s = samples_per_s;
    }

    pub(super) fn on_tick(&mut self, now: Instant) {
        let before = self.updated_at.replace(now).unwrap_or(now);
        let elapsed_s = now.saturating_duration_since(before).as_secs_f64();
        self.saved = (self.saved + elapsed_s * self.samples_per_s).min(MAX_SAVED);
    }

    pub(super) fn has_sample(&self) -> bool {
        self.saved >= 1.0
    }

    pub(super) fn spend(&mut self) {
        self.saved = (self.saved - 1.0).max(0.0);
    }
}
