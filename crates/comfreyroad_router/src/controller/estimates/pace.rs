use std::time::Duration;

/// Share of a new sample, once there are many.
const WEIGHT: f64 = 0.03;
/// Shortest time per event that counts.
const MIN_PACE: Duration = Duration::from_micros(1);

/// Geometric mean of the time per event: a few slow upstreams do not change what is usual.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Pace {
    log_seconds: f64,
    samples: f64,
}

impl Pace {
    /// Adds the time per event of an answer.
    pub(super) fn add(&mut self, pace: Duration) {
        self.samples += 1.0;
        let weight = (1.0 / self.samples).max(WEIGHT);
        let sample = pace.max(MIN_PACE).as_secs_f64().ln();
        self.log_seconds += (sample - self.log_seconds) * weight;
    }

    /// The mean, if there is at least one sample.
    pub(super) fn mean(&self) -> Option<Duration> {
        (self.samples > 0.0)
            .then(|| Duration::try_from_secs_f64(self.log_seconds.exp()).ok())
            .flatten()
    }
}
