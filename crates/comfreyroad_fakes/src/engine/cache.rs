use std::collections::VecDeque;
use std::time::{Duration, Instant};

use bytes::Bytes;
use comfreyroad_wire::engine::{CacheEvent, CacheEvents, CacheOp};
use indexmap::IndexMap;

use crate::PrefixId;
use crate::chat::Prefix;

/// Maximum number of events retained for readers.
const MAX_EVENTS: usize = 10_000;

/// Prefix cache with least-recently-used eviction.
pub struct Cache {
    max_tokens: u32,
    tokens: u32,
    prefixes: IndexMap<PrefixId, u32>,
    event_lag: Duration,
    event_loss: f64,
    rng: fastrand::Rng,
    next_seq: u64,
    events: VecDeque<(Instant, CacheEvent)>,
}

impl Cache {
    /// Creates an empty cache.
    ///
    /// Events become visible after `event_lag`; the share `event_loss` of them, from 0.0 to 1.0, is dropped.
    #[must_use]
    pub fn new(max_tokens: u32, event_lag: Duration, event_loss: f64, rng: fastrand::Rng) -> Self {
        Self {
            max_tokens,
            tokens: 0,
            prefixes: IndexMap::new(),
            event_lag,
            event_loss,
            rng,
            next_seq: 1,
            events: VecDeque::new(),
        }
    }

    /// Length in tokens of the longest cached prefix among these, which becomes the most recently used.
    pub fn touch_longest(&mut self, prefixes: &[Prefix]) -> u32 {
        for prefix in prefixes.iter().rev() {
            if let Some(tokens) = self.prefixes.shift_remove(&prefix.id) {
                // The map is in order of use, most recent last.
                self.prefixes.insert(prefix.id.clone(), tokens);
                return tokens;
            }
        }
        0
    }

    /// Exports a cached prefix in the form that `import` reads.
    #[must_use]
    pub fn export(&self, prefix: &str) -> Option<Bytes> {
        let tokens = self.prefixes.get(prefix)?;
        Some(tokens.to_string().into())
    }

    /// Imports an exported prefix; returns false when the bytes are not a valid export.
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

    /// Share of the cache in use, from 0.0 to 1.0.
    #[must_use]
    pub fn used(&self) -> f64 {
        f64::from(self.tokens) / f64::from(self.max_tokens.max(1))
    }

    /// Stores a prefix and evicts others to make room.
    pub fn store(&mut self, prefix: &Prefix) {
        if prefix.tokens > self.max_tokens || self.touch_longest(std::slice::from_ref(prefix)) > 0 {
            return;
        }
        self.tokens += prefix.tokens;
        while self.tokens > self.max_tokens {
            let Some((id, tokens)) = self.prefixes.shift_remove_index(0) else {
                break;
            };
            self.tokens -= tokens;
            self.emit(CacheOp::Evicted, id, tokens);
        }
        self.prefixes.insert(prefix.id.clone(), prefix.tokens);
        self.emit(CacheOp::Stored, prefix.id.clone(), prefix.tokens);
    }

    /// Empties the cache.
    pub fn clear(&mut self) {
        self.prefixes.clear();
        self.tokens = 0;
        self.emit(CacheOp::Cleared, String::new(), 0);
    }

    /// Visible events with a sequence number of at least `from`.
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

    fn emit(&mut self, op: CacheOp, prefix: PrefixId, tokens: u32) {
        let seq = self.next_seq;
        self.next_seq += 1;
        if self.rng.f64() < self.event_loss {
            return;
        }
        let event = CacheEvent {
            seq,
            op,
            prefix,
            tokens,
        };
        self.events
            .push_back((Instant::now() + self.event_lag, event));
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }
}
