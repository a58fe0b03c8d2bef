use std::time::Duration;

/// Window of the average, in samples.
const SAMPLES: u32 = 8;

/// An exponential moving average of durations.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Average {
    mean: Option<Duration>,
}

impl Average {
    /// Adds a sample.
    pub fn add(&mut self, sample: Duration) {
        self.mean = Some(match self.mean {
            Some(mean) => (mean * (SAMPLES - 1) + sample) / SAMPLES,
            None => sample,
        });
    }

    /// The mean, if there is at least one sample.
    pub fn mean(&self) -> Option<Duration> {
        self.mean
    }
}
