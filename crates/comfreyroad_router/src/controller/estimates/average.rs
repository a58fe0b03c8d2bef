use std::time::Duration;

/// Window of the average, in samples.
const SAMPLES: u32 = 64;

/// A moving average of durations.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Average {
    mean: Duration,
    samples: u32,
}

impl Average {
    /// Adds a sample.
    pub(super) fn add(&mut self, sample: Duration) {
        self.samples = (self.samples + 1).min(SAMPLES);
        self.mean = (self.mean * (self.samples - 1) + sample) / self.samples;
    }

    /// The mean, if there is at least one sample.
    pub(super) fn mean(&self) -> Option<Duration> {
        (self.samples > 0).then_some(self.mean)
    }
}
