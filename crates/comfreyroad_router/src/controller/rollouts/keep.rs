use std::sync::Arc;
use std::time::{Duration, Instant};

use indexmap::IndexMap;

/// Sessions that keep the old version in one frame at most.
const MAX_KEPT: usize = 256;

/// Sessions that keep the old version while few requests try the new one, and when they are over.
#[derive(Debug, Default)]
pub(super) struct Keep {
    sessions: IndexMap<Arc<str>, Instant>,
}

impl Keep {
    /// A session goes on until a moment at least.
    pub(super) fn add(&mut self, session: &Arc<str>, ends: Instant) {
        let known = self.sessions.entry(session.clone()).or_insert(ends);
        *known = ends.max(*known);
    }

    /// Whether a session goes on.
    pub(super) fn has(&self, now: Instant, session: &str) -> bool {
        self.sessions.get(session).is_some_and(|ends| *ends > now)
    }

    /// The sessions that go on, and the time that each has left.
    pub(super) fn left(&self, now: Instant) -> impl Iterator<Item = (&Arc<str>, Duration)> {
        let left = self.sessions.iter();
        let left = left.map(move |(session, ends)| (session, ends.saturating_duration_since(now)));
        left.filter(|(_, left)| !left.is_zero()).take(MAX_KEPT)
    }
}
