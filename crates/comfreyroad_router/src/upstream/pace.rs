use std::time::Duration;

/// Weight of the newest sample in the mean, as one part of so many: an exponential mean over about that many samples.
const SAMPLES: u32 = 8;

/// An exponential mean of times.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Pace {
    mean: Option<Duration>,
}

impl Pace {
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
