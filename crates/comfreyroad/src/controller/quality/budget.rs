use std::time::Instant;

/// Samples that can be saved up.
const SAVED: f64 = 4.0;

/// Samples that may be given to the rating service: this entry's part of what all may give.
#[derive(Debug)]
pub(super) struct Budget {
    rate: f64,
    saved: f64,
    at: Option<Instant>,
}

impl Budget {
    /// A budget of so many samples in a second.
    pub(super) fn new(rate: f64) -> Self {
        Self {
            rate,
            saved: 1.0,
            at: None,
        }
    }

    pub(super) fn set_rate(&mut self, rate: f64) {
        self.rate = rate;
    }

    pub(super) fn on_tick(&mut self, now: Instant) {
        let before = self.at.replace(now).unwrap_or(now);
        let time = now.saturating_duration_since(before).as_secs_f64();
        self.saved = (self.saved + time * self.rate).min(SAVED);
    }

    pub(super) fn has(&self) -> bool {
        self.saved >= 1.0
    }

    pub(super) fn spend(&mut self) {
        self.saved = (self.saved - 1.0).max(0.0);
    }
}
