//! Token bucket rate limiter.

use std::time::{Duration, Instant};

/// Limits a rate to `per_second`, with bursts of up to `burst`.
#[derive(Clone, Debug)]
pub struct Bucket {
    per_second: f64,
    burst: f64,
    tokens: f64,
    filled_at: Instant,
}

impl Bucket {
    /// Creates a full bucket.
    #[must_use]
    pub fn new(per_second: f64, burst: f64) -> Self {
        Self {
            per_second,
            burst,
            tokens: burst,
            filled_at: Instant::now(),
        }
    }

    /// Takes `count` tokens, or returns the time to wait for them.
    pub fn take(&mut self, count: f64) -> Result<(), Duration> {
        let now = Instant::now();
        let refilled = now.duration_since(self.filled_at).as_secs_f64() * self.per_second;
        self.tokens = (self.tokens + refilled).min(self.burst);
        self.filled_at = now;
        // A request for more than the burst could never be met, so it is admitted once the bucket is full.
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
