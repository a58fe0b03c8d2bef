use std::time::{Duration, Instant};

/// Smallest weight of a new sample, so that samples that come close together count as well.
const MIN_WEIGHT: f64 = 0.03;
/// Weight of the first sample. The rest is the usual time.
const FIRST_WEIGHT: f64 = 0.2;
/// Factors outside of this range are taken for its ends.
const RANGE: (f64, f64) = (0.2, 10.0);

#[derive(Clone, Copy, Debug, PartialEq)]
struct Sample {
    at: Instant,
    factor: f64,
}

/// How long work takes somewhere, as a factor of the usual: a mean of samples that decays to 1 without new ones.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Slowness<const HALF_LIFE_MS: u64> {
    // Natural logarithm of the mean factor, so that half the time and twice the time cancel out.
    log: f64,
    last: Option<Sample>,
}

impl<const HALF_LIFE_MS: u64> Slowness<HALF_LIFE_MS> {
    /// Adds a sample. Samples that are no newer than the last one are ignored.
    pub fn add(&mut self, at: Instant, factor: f64) {
        if factor.is_nan() {
            return;
        }
        let factor = factor.clamp(RANGE.0, RANGE.1);
        let weight = match self.last {
            Some(last) if last.at >= at => return,
            Some(last) => (1.0 - Self::decay(at - last.at)).max(MIN_WEIGHT),
            None => FIRST_WEIGHT,
        };
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
