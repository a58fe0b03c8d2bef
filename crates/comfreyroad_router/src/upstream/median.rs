use std::time::Duration;

/// Fraction of the estimate by which each sample moves it.
const STEP: f64 = 0.06;

/// A streaming estimate of the median of durations, robust against a few slow samples.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Median {
    estimate: Option<Duration>,
    count: u32,
}

impl Median {
    /// Adds a sample.
    pub fn add(&mut self, sample: Duration) {
        self.count = self.count.saturating_add(1);
        self.estimate = Some(match self.estimate {
            None => sample,
            Some(estimate) if sample > estimate => estimate.mul_f64(1.0 + STEP),
            Some(estimate) if sample < estimate => estimate.mul_f64(1.0 - STEP),
            Some(estimate) => estimate,
        });
    }

    /// The estimate, once at least `min_samples` samples have been added.
    pub fn estimate(&self, min_samples: u32) -> Option<Duration> {
        self.estimate.filter(|_| self.count >= min_samples)
    }
}
