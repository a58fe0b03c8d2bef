use indexmap::IndexMap;

/// Prefill throughput of an engine, in tokens per second.
pub(crate) const PREFILL_RATE: f64 = 8_000.0;
/// Capacity of the KV cache of an engine, in tokens.
const CACHE_TOKENS: u32 = 120_000;
/// Time from the first token of an answer to its end, in seconds.
const DECODE_TIME: f64 = 8.0;

/// An engine that prefills prompts one at a time and keeps the most recently used sessions in its KV cache.
#[derive(Default)]
pub(crate) struct Engine {
    free_at: f64,
    ends: Vec<f64>,
    cache: IndexMap<u64, u32>,
}

impl Engine {
    /// Returns the seconds until the engine can start to prefill another prompt.
    pub(crate) fn backlog(&self, now: f64) -> f64 {
        (self.free_at - now).max(0.0)
    }

    /// Returns the number of answers in progress.
    pub(crate) fn running(&self, now: f64) -> usize {
        self.ends.iter().filter(|end| **end > now).count()
    }

    /// Returns the number of cached tokens of a session.
    pub(crate) fn cached(&self, session: u64) -> u32 {
        self.cache.get(&session).copied().unwrap_or_default()
    }

    /// Prefills the tokens of a prompt that are not cached and returns the time to the first token; `fetch_time` is the
    /// time to fetch KV cache from another engine.
    pub(crate) fn prefill(&mut self, now: f64, tokens: u32, fetch_time: f64) -> f64 {
        let wait = self.backlog(now);
        let prefill_time = f64::from(tokens) / PREFILL_RATE;
        self.free_at = now + wait + prefill_time;
        self.ends.retain(|end| *end > now);
        self.ends.push(self.free_at + DECODE_TIME);
        wait.max(fetch_time) + prefill_time
    }

    /// Caches the tokens of a session and returns the sessions that are evicted.
    pub(crate) fn store(&mut self, session: u64, tokens: u32) -> Vec<u64> {
        self.cache.shift_remove(&session);
        self.cache.insert(session, tokens);
        let mut evicted = Vec::new();
        while self.cache.values().sum::<u32>() > CACHE_TOKENS {
            evicted.extend(self.cache.shift_remove_index(0).map(|(session, _)| session));
        }
        evicted
    }
}
