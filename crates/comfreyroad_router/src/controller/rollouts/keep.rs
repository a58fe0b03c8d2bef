use std::sync::Arc;
use std::time::{Duration, Instant};

use indexmap::IndexMap;

/// Sessions in one frame at most.
const MAX_KEPT: usize = 256;

/// Sessions that keep their version while few requests try the new one, and when they are over.
#[derive(Debug, Default)]
pub(super) struct Keep {
    sessions: IndexMap<Arc<str>, Session>,
}

/// What is known of a session.
#[derive(Clone, Copy, Debug)]
pub(super) struct Session {
    /// Whether it has the new version.
    pub(super) has_moved: bool,
    pub(super) ends: Instant,
}

impl Keep {
    /// A session goes on until a moment at least. The first version that is heard of it holds while it goes on.
    pub(super) fn add(&mut self, now: Instant, name: &Arc<str>, session: Session) {
        let known = self.sessions.entry(name.clone()).or_insert(session);
        if known.ends <= now {
            *known = session;
        }
        known.ends = known.ends.max(session.ends);
    }

    /// Whether a session that goes on has the new version.
    pub(super) fn has_moved(&self, now: Instant, name: &str) -> Option<bool> {
        let known = self.sessions.get(name).filter(|it| it.ends > now)?;
        Some(known.has_moved)
    }

    /// The sessions that go on.
    pub(super) fn iter(
        &self,
        now: Instant,
    ) -> impl Iterator<Item = (&Arc<str>, Session, Duration)> {
        let left = self.sessions.iter().map(move |(name, session)| {
            let left = session.ends.saturating_duration_since(now);
            (name, *session, left)
        });
        left.filter(|(_, _, left)| !left.is_zero()).take(MAX_KEPT)
    }
}
