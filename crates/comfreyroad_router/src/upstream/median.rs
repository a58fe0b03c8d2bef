use std::time::Duration;

/// Part by which each sample moves the estimate towards itself.
const STEP: f64 = 0.06;

/// A running estimate of the median of times, which a few slow ones do not move far.
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

    /// The estimate, once there are as many samples.
    pub fn estimate(&self, samples: u32) -> Option<Duration> {
        self.estimate.filter(|_| self.count >= samples)
    }
}
