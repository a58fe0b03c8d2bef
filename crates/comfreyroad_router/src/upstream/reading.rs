use std::time::Duration;

/// Prompts of fewer tokens say little about the speed of reading.
const LEAST_TOKENS: u32 = 500;
/// Weight of a sample that is faster than the estimate: waiting only ever makes samples slower.
const FASTER: f64 = 0.3;
/// Weight of a sample that is slower than the estimate.
const SLOWER: f64 = 0.01;
/// Seconds a token while nothing is known: some 50 tokens a millisecond, as engines of this size read.
const ASSUMED: f64 = 0.000_02;

/// How fast engines read prompts, learnt from the time to the first event: a low quantile, as only waiting adds to it.
#[derive(Clone, Copy, Debug)]
pub struct Reading {
    seconds_per_token: f64,
}

impl Default for Reading {
    fn default() -> Self {
        Self {
            seconds_per_token: ASSUMED,
        }
    }
}

impl Reading {
    /// Adds the time to the first event of a prompt.
    pub fn add(&mut self, tokens: u32, took: Duration) {
        if tokens < LEAST_TOKENS {
            return;
        }
        let sample = took.as_secs_f64() / f64::from(tokens);
        let weight = if sample < self.seconds_per_token {
            FASTER
        } else {
            SLOWER
        };
        self.seconds_per_token += (sample - self.seconds_per_token) * weight;
    }

    /// Time to read a prompt.
    pub fn takes(&self, tokens: u32) -> Duration {
        let seconds = self.seconds_per_token * f64::from(tokens);
        Duration::try_from_secs_f64(seconds).unwrap_or_default()
    }
}
