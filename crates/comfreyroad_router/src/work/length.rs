use std::time::{Duration, Instant};

/// Share of a new sample, once there are many.
const WEIGHT: f64 = 0.02;
/// Samples that the assumption at the start counts for.
const PRIOR_SAMPLES: f64 = 2.0;
/// Standard deviation of the logarithm that is assumed at the start: lengths spread over a factor of two both ways.
const DEFAULT_SPREAD: f64 = 0.7;
/// Time after which the assumption at the start counts as much as what was learned.
const MAX_AGE: Duration = Duration::from_secs(600);
/// Lengths are bounded to this factor of the stated one, both ways, so that absurd statements do no harm.
const MAX_RATIO: f64 = 1000.0;

/// Lengths of answers as a ratio to what requests state of them: a log-normal distribution.
#[derive(Clone, Copy, Debug)]
pub struct Length {
    // Mean and variance of the natural logarithm of the ratio.
    mean: f64,
    variance: f64,
    samples: f64,
    expires_at: Option<Instant>,
}

impl Default for Length {
    fn default() -> Self {
        Self {
            mean: 0.0,
            variance: DEFAULT_SPREAD * DEFAULT_SPREAD,
            samples: PRIOR_SAMPLES,
            expires_at: None,
        }
    }
}

impl Length {
    /// Adds an answer: its length, and what its request stated.
    pub fn add(&mut self, now: Instant, events: u32, stated: f64) {
        if self.expires_at.is_some_and(|at| at <= now) {
            *self = Self::default();
        }
        let ratio = f64::from(events.max(1)) / stated.max(1.0);
        let sample = ratio.clamp(1.0 / MAX_RATIO, MAX_RATIO).ln();
        // The mean of the first answers counts at once, as nothing is known of the size of an event.
        let is_first = self.expires_at.is_none();
        self.samples += 1.0;
        let weight = (1.0 / self.samples).max(WEIGHT);
        let error = sample - self.mean;
        self.mean += error * if is_first { 1.0 } else { weight };
        if !is_first {
            self.variance += (error * error - self.variance) * weight;
        }
        self.expires_at = Some(now + MAX_AGE);
    }

    /// The length in events that an answer exceeds with the chance of a normal deviate over `deviations`.
    pub fn events(&self, stated: f64, deviations: f64) -> f64 {
        let log = self.mean + deviations * self.variance.sqrt();
        stated.max(1.0) * log.exp()
    }
}
