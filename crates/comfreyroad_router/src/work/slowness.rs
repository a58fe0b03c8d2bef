use std::time::{Duration, Instant};

/// Samples for which the usual time counts at first.
const PRIOR_SAMPLES: u32 = 1;
/// Factors outside of this range are taken for its ends.
const RANGE: (f64, f64) = (0.2, 10.0);

#[derive(Clone, Copy, Debug, PartialEq)]
struct Sample {
    at: Instant,
    factor: f64,
}

/// How long work takes somewhere, as a factor of the usual: a mean of samples that decays to 1 without new ones.
///
/// Half of a deviation is gone after `HALF_LIFE_MS`. A sample weighs at least `MIN_PERCENT`, so that samples that come close together
/// count as well.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Slowness<const HALF_LIFE_MS: u64, const MIN_PERCENT: u32> {
    // Natural logarithm of the mean factor, so that half the time and twice the time cancel out.
    log: f64,
    samples: u32,
    last: Option<Sample>,
}

impl<const HALF_LIFE_MS: u64, const MIN_PERCENT: u32> Slowness<HALF_LIFE_MS, MIN_PERCENT> {
    /// Adds a sample. Samples that are no newer than the last one are ignored.
    pub fn add(&mut self, at: Instant, factor: f64) {
        if factor.is_nan() || self.last.is_some_and(|last| last.at >= at) {
            return;
        }
        let factor = factor.clamp(RANGE.0, RANGE.1);
        let by_time = self
            .last
            .map_or(0.0, |last| 1.0 - Self::decay(at - last.at));
        self.samples = self.samples.saturating_add(1);
        let by_count = 1.0 / f64::from(self.samples.saturating_add(PRIOR_SAMPLES));
        let weight = by_count.max(by_time).max(f64::from(MIN_PERCENT) / 100.0);
        self.log += (factor.ln() - self.log) * weight;
        self.last = Some(Sample { at, factor });
    }

    /// The mean factor.
    pub fn factor(&self, now: Instant) -> f64 {
        let Some(last) = self.last else {
            return 1.0;
        };
        let age = now.saturating_duration_since(last.at);
        (self.log * Self::decay(age)).exp()
    }

    /// The last sample, and when it was taken.
    pub fn last(&self) -> Option<(Instant, f64)> {
        self.last.map(|last| (last.at, last.factor))
    }

    /// What is left of a deviation after a time.
    fn decay(time: Duration) -> f64 {
        0.5_f64.powf(time.as_secs_f64() * 1000.0 / HALF_LIFE_MS as f64)
    }
}
