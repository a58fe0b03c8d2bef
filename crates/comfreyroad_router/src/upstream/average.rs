use std::time::Duration;

/// Samples over which the mean of one upstream's times goes.
const SAMPLES: u32 = 8;

/// An exponential mean of times.
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

    /// The mean, if there is a sample.
    pub fn mean(&self) -> Option<Duration> {
        self.mean
    }
}
