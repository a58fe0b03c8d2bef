use indexmap::IndexMap;

/// Prefill throughput of an engine, in tokens per second.
pub(crate) const PREFILL_TOKENS_PER_S: f64 = 8_000.0;
/// Capacity of the KV cache of an engine, in tokens.
const CACHE_TOKENS: u32 = 120_000;
/// Time from the first token of an answer to its end, in seconds.
const DECODE_TIME_S: f64 = 8.0;

/// An engine that prefills prompts one at a time and keeps the most recently used sessions in its KV cache.
#[derive(Default)]
pub(crate) struct Engine {
    prefill_ends_at: f64,
    answer_ends: Vec<f64>,
    cache: IndexMap<u64, u32>,
}

impl Engine {
    /// Returns the seconds until the engine can start to prefill another prompt.
    pub(crate) fn backlog(&self, now: f64) -> f64 {
        (self.prefill_ends_at - now).max(0.0)
    }

    /// Returns the number of answers in progress.
    pub(crate) fn running(&self, now: f64) -> usize {
        self.answer_ends.iter().filter(|end| **end > now).count()
    }

    /// Returns the number of cached tokens of a session.
    pub(crate) fn cached_tokens(&self, session: u64) -> u32 {
        self.cache.get(&session).copied().unwrap_or_default()
    }

    /// Prefills the tokens of a prompt that are not cached and returns the time to the first token; `fetch_s` is the
    /// time to fetch KV cache from another engine.
    pub(crate) fn prefill(&mut self, now: f64, tokens: u32, fetch_s: f64) -> f64 {
        let wait_s = self.backlog(now);
        let prefill_s = f64::from(tokens) / PREFILL_TOKENS_PER_S;
        self.prefill_ends_at = now + wait_s + prefill_s;
        self.answer_ends.retain(|end| *end > now);
        self.answer_ends.push(self.prefill_ends_at + DECODE_TIME_S);
        wait_s.max(fetch_s) + prefill_s
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
