use indexmap::IndexMap;

/// Tokens that an engine prefills in a second.
pub(crate) const PREFILL: f64 = 8_000.0;
/// Tokens that an engine's cache holds.
const CACHE: u32 = 120_000;
/// Time that an answer goes on after its first token, in seconds.
const DECODE: f64 = 8.0;

/// One engine: prefills one prompt after the other, and keeps what it was used for last.
#[derive(Default)]
pub(crate) struct Engine {
    free_at: f64,
    ends: Vec<f64>,
    cache: IndexMap<u64, u32>,
}

impl Engine {
    /// Seconds until it begins with the next prompt.
    pub(crate) fn backlog(&self, now: f64) -> f64 {
        (self.free_at - now).max(0.0)
    }

    /// Answers under way.
    pub(crate) fn running(&self, now: f64) -> usize {
        self.ends.iter().filter(|end| **end > now).count()
    }

    /// Tokens of a session that it has.
    pub(crate) fn cached(&self, session: u64) -> u32 {
        self.cache.get(&session).copied().unwrap_or_default()
    }

    /// Prefills a prompt, part of which comes from its cache or another engine's; gives the time to the first token.
    pub(crate) fn prefill(&mut self, now: f64, tokens: u32, extra: f64) -> f64 {
        let wait = self.backlog(now);
        let took = f64::from(tokens) / PREFILL;
        self.free_at = now + wait + took;
        self.ends.retain(|end| *end > now);
        self.ends.push(self.free_at + DECODE);
        wait.max(extra) + took
    }

    /// Keeps a session's tokens; gives the sessions that it gave up for them.
    pub(crate) fn store(&mut self, session: u64, tokens: u32) -> Vec<u64> {
        self.cache.shift_remove(&session);
        self.cache.insert(session, tokens);
        let mut gone = Vec::new();
        while self.cache.values().sum::<u32>() > CACHE {
            gone.extend(self.cache.shift_remove_index(0).map(|(session, _)| session));
        }
        gone
    }
}
