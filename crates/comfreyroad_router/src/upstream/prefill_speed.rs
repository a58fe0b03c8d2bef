use std::time::{Duration, Instant};

/// Prompts with fewer tokens say little about the speed and do not update it.
const MIN_TOKENS: u32 = 500;
/// Weight of a sample that is faster than the estimate. It is high, because queueing only ever makes samples slower.
const FASTER_WEIGHT: f64 = 0.3;
/// Weight of a sample that is slower than the estimate.
const SLOWER_WEIGHT: f64 = 0.01;
/// Weight of a sample in the mean queueing delay. It averages over about thirty samples, because one long prompt delays
/// several others.
const QUEUEING_WEIGHT: f64 = 0.03;
/// Age of the last sample up to which the queueing delay counts in full. After that it decays with the half-life below,
/// because queues of engines drain within seconds.
const DECAY_DELAY: Duration = Duration::from_secs(1);
/// Half-life of the queueing delay after that age.
const HALF_LIFE: Duration = Duration::from_secs(1);
/// Seconds per token before the first sample: about 50 tokens per millisecond, the usual prefill speed of engines of this size.
const DEFAULT_SECONDS_PER_TOKEN: f64 = 0.000_02;

/// Prefill speed of engines, estimated from the time to the first event.
///
/// The speed follows a low quantile of the samples, because queueing only adds to the time. The mean of the time beyond that is
/// the queueing delay.
#[derive(Clone, Copy, Debug)]
pub struct PrefillSpeed {
    seconds_per_token: f64,
    // Mean time to the first event beyond the prefill time, in seconds, and when the last sample was added.
    queueing: f64,
    sampled_at: Option<Instant>,
}

impl Default for PrefillSpeed {
    fn default() -> Self {
        Self {
            seconds_per_token: DEFAULT_SECONDS_PER_TOKEN,
            queueing: 0.0,
            sampled_at: None,
        }
    }
}

impl PrefillSpeed {
    /// Adds a sample: the time to the first event for a prompt of so many tokens.
    pub fn add(&mut self, now: Instant, tokens: u32, latency: Duration) {
        let wait = latency
            .saturating_sub(self.prefill_time(tokens))
            .as_secs_f64();
        let mean = self.queueing(now);
        self.queueing = mean + (wait - mean) * QUEUEING_WEIGHT;
        self.sampled_at = Some(now);
        if tokens < MIN_TOKENS {
            return;
        }
        let sample = latency.as_secs_f64() / f64::from(tokens);
        let weight = if sample < self.seconds_per_token {
            FASTER_WEIGHT
        } else {
            SLOWER_WEIGHT
        };
        self.seconds_per_token += (sample - self.seconds_per_token) * weight;
    }

    /// Expected time to the first event of a prompt, including the queueing delay.
    pub fn time_to_first_event(&self, now: Instant, tokens: u32) -> Duration {
        let wait = Duration::try_from_secs_f64(self.queueing(now)).unwrap_or_default();
        self.prefill_time(tokens) + wait
    }

    /// The queueing delay in seconds. It decays without new samples, so that a model that was slow is tried again.
    fn queueing(&self, now: Instant) -> f64 {
        let idle = self.sampled_at.map_or(Duration::ZERO, |sampled_at| {
            now.saturating_duration_since(sampled_at + DECAY_DELAY)
        });
        self.queueing * 0.5_f64.powf(idle.as_secs_f64() / HALF_LIFE.as_secs_f64())
    }

    /// Expected prefill time of a prompt.
    pub fn prefill_time(&self, tokens: u32) -> Duration {
        let seconds = self.seconds_per_token * f64::from(tokens);
        Duration::try_from_secs_f64(seconds).unwrap_or_default()
    }
}
