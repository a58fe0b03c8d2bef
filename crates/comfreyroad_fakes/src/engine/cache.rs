use std::collections::VecDeque;
use std::time::{Duration, Instant};

use bytes::Bytes;
use comfreyroad_wire::engine::{CacheEvent, CacheEvents, CacheOp};
use indexmap::IndexMap;

use crate::PrefixId;
use crate::chat::Prefix;

/// Events kept for readers.
const MAX_EVENTS: usize = 10_000;

/// Prefix cache, which gives up what was used longest ago.
pub struct Cache {
    max_tokens: u32,
    tokens: u32,
    prefixes: IndexMap<PrefixId, u32>,
    lag: Duration,
    gaps: f64,
    rng: fastrand::Rng,
    next_seq: u64,
    events: VecDeque<(Instant, CacheEvent)>,
}

impl Cache {
    /// An empty cache, whose events come late and in part never.
    #[must_use]
    pub fn new(max_tokens: u32, lag: Duration, gaps: f64, rng: fastrand::Rng) -> Self {
        Self {
            max_tokens,
            tokens: 0,
            prefixes: IndexMap::new(),
            lag,
            gaps,
            rng,
            next_seq: 1,
            events: VecDeque::new(),
        }
    }

    /// Length in tokens of the longest of these prefixes that is cached.
    pub fn hit(&mut self, prefixes: &[Prefix]) -> u32 {
        for prefix in prefixes.iter().rev() {
            if let Some(tokens) = self.prefixes.shift_remove(&prefix.id) {
                // The end of the map is what was used last.
                self.prefixes.insert(prefix.id.clone(), tokens);
                return tokens;
            }
        }
        0
    }

    /// A cached prefix as another engine can import it.
    #[must_use]
    pub fn export(&self, prefix: &str) -> Option<Bytes> {
        let tokens = self.prefixes.get(prefix)?;
        Some(tokens.to_string().into())
    }

    /// Takes an export in; false when it isn't one.
    pub fn import(&mut self, prefix: &str, kv: &[u8]) -> bool {
        let text = std::str::from_utf8(kv).unwrap_or_default();
        let Ok(tokens) = text.parse() else {
            return false;
        };
        self.store(&Prefix {
            id: prefix.to_owned(),
            tokens,
        });
        true
    }

    /// Part of the cache in use, from 0.0 to 1.0.
    #[must_use]
    pub fn used(&self) -> f64 {
        f64::from(self.tokens) / f64::from(self.max_tokens.max(1))
    }

    /// Puts a prefix in, and others out to make room.
    pub fn store(&mut self, prefix: &Prefix) {
        if prefix.tokens > self.max_tokens || self.hit(std::slice::from_ref(prefix)) > 0 {
            return;
        }
        self.tokens += prefix.tokens;
        while self.tokens > self.max_tokens {
            let Some((id, tokens)) = self.prefixes.shift_remove_index(0) else {
                break;
            };
            self.tokens -= tokens;
            self.tell(CacheOp::Evicted, id, tokens);
        }
        self.prefixes.insert(prefix.id.clone(), prefix.tokens);
        self.tell(CacheOp::Stored, prefix.id.clone(), prefix.tokens);
    }

    /// Empties the cache.
    pub fn clear(&mut self) {
        self.prefixes.clear();
        self.tokens = 0;
        self.tell(CacheOp::Cleared, String::new(), 0);
    }

    /// Events that are due, from number `from`.
    #[must_use]
    pub fn events(&self, from: u64) -> CacheEvents {
        let now = Instant::now();
        let due = self
            .events
            .iter()
            .take_while(|(due, _)| *due <= now)
            .map(|(_, event)| event);
        let events: Vec<_> = due.filter(|event| event.seq >= from).cloned().collect();
        let next = events.last().map_or(from, |event| event.seq + 1);
        CacheEvents { next, events }
    }

    fn tell(&mut self, op: CacheOp, prefix: PrefixId, tokens: u32) {
        let seq = self.next_seq;
        self.next_seq += 1;
        if self.rng.f64() < self.gaps {
            return;
        }
        let event = CacheEvent {
            seq,
            op,
            prefix,
            tokens,
        };
        self.events.push_back((Instant::now() + self.lag, event));
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }
}
