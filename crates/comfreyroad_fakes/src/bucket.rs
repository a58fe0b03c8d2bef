//! A token bucket.

use std::time::{Duration, Instant};

/// Lets a bounded number of things through per second.
#[derive(Clone, Debug)]
pub struct Bucket {
    per_second: f64,
    burst: f64,
    tokens: f64,
    filled_at: Instant,
}

impl Bucket {
    /// A full bucket.
    #[must_use]
    pub fn new(per_second: f64, burst: f64) -> Self {
        Self {
            per_second,
            burst,
            tokens: burst,
            filled_at: Instant::now(),
        }
    }

    /// Takes `count` tokens, or says how long to wait for them.
    pub fn take(&mut self, count: f64) -> Result<(), Duration> {
        let now = Instant::now();
        let gained = now.duration_since(self.filled_at).as_secs_f64() * self.per_second;
        self.tokens = (self.tokens + gained).min(self.burst);
        self.filled_at = now;
        // A demand above the burst could never be met, so it passes once the bucket is full.
        if self.tokens < count.min(self.burst) {
            let missing = count.min(self.burst) - self.tokens;
            return Err(Duration::from_secs_f64(
                missing / self.per_second.max(0.001),
            ));
        }
        self.tokens -= count;
        Ok(())
    }
}
