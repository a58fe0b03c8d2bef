use std::time::{Duration, Instant};

/// Prompts of fewer tokens say little about the speed of reading.
const LEAST_TOKENS: u32 = 500;
/// Weight of a sample that is faster than the estimate: waiting only ever makes samples slower.
const FASTER: f64 = 0.3;
/// Weight of a sample that is slower than the estimate.
const SLOWER: f64 = 0.01;
/// Weight of a sample in the mean wait: some thirty samples, as one long prompt delays a few others.
const WAITED: f64 = 0.03;
/// Time since its last sample for which a wait is believed in full, and in which it then loses half of its weight each time:
/// queues of engines are gone in seconds.
const BELIEVED: Duration = Duration::from_secs(1);
const HALF_LIFE: Duration = Duration::from_secs(1);
/// Seconds a token while nothing is known: some 50 tokens a millisecond, as engines of this size read.
const ASSUMED: f64 = 0.000_02;

/// How fast engines read prompts, learnt from the time to the first event: a low quantile, as only waiting adds to it. What
/// is beyond that is their usual wait.
#[derive(Clone, Copy, Debug)]
pub struct PrefillSpeed {
    seconds_per_token: f64,
    // Mean time to the first event beyond that of reading the prompt, in seconds, and when it was last seen.
    wait: f64,
    seen: Option<Instant>,
}

impl Default for PrefillSpeed {
    fn default() -> Self {
        Self {
            seconds_per_token: ASSUMED,
            wait: 0.0,
            seen: None,
        }
    }
}

impl PrefillSpeed {
    /// Adds the time to the first event of a prompt.
    pub fn add(&mut self, now: Instant, tokens: u32, took: Duration) {
        let wait = took.saturating_sub(self.prefill_time(tokens)).as_secs_f64();
        let usual = self.wait(now);
        self.wait = usual + (wait - usual) * WAITED;
        self.seen = Some(now);
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

    /// Time to the first event of a prompt, with the wait that is usual.
    pub fn time_to_first_event(&self, now: Instant, tokens: u32) -> Duration {
        let wait = Duration::try_from_secs_f64(self.wait(now)).unwrap_or_default();
        self.prefill_time(tokens) + wait
    }

    /// The usual wait in seconds. One that nothing was seen of for a while is believed less and less, so that it is tried.
    fn wait(&self, now: Instant) -> f64 {
        let since = self.seen.map_or(Duration::ZERO, |seen| {
            now.saturating_duration_since(seen + BELIEVED)
        });
        self.wait * 0.5_f64.powf(since.as_secs_f64() / HALF_LIFE.as_secs_f64())
    }

    /// Time to read a prompt.
    pub fn prefill_time(&self, tokens: u32) -> Duration {
        let seconds = self.seconds_per_token * f64::from(tokens);
        Duration::try_from_secs_f64(seconds).unwrap_or_default()
    }
}
