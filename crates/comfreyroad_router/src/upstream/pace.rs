use std::time::Duration;

/// Samples over which the mean of one upstream's times goes.
const SAMPLES: u32 = 8;

/// An exponential mean of times.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pace {
    mean: Option<Duration>,
    samples: u32,
}

impl Default for Pace {
    fn default() -> Self {
        Self::over(SAMPLES)
    }
}

impl Pace {
    /// A mean over about so many samples.
    pub fn over(samples: u32) -> Self {
        Self {
            mean: None,
            samples: samples.max(1),
        }
    }

    /// Adds a sample.
    pub fn add(&mut self, sample: Duration) {
        self.mean = Some(match self.mean {
            Some(mean) => (mean * (self.samples - 1) + sample) / self.samples,
            None => sample,
        });
    }

    /// The mean, if there is a sample.
    pub fn mean(&self) -> Option<Duration> {
        self.mean
    }
}
