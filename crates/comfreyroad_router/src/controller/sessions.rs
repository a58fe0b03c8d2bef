//! Session affinity: the version that serves each session, so that a rollout does not move sessions in progress.

use std::sync::Arc;
use std::time::{Duration, Instant};

use comfreyroad::clock::Now;
use indexmap::IndexMap;

use super::Controller;
use crate::id::{PoolId, VersionId};
use crate::outbox::Outbox;
use crate::{Event, Settings};

/// Maximum number of sessions; beyond it the least recently used are evicted. It holds all sessions at 500 requests per
/// second and 8 s per session.
const MAX_SESSIONS: usize = 4096;

/// Controller of the sessions.
#[derive(Debug)]
pub struct Sessions {
    idle_timeout: Duration,
    // Least recently used first.
    sessions: IndexMap<(PoolId, Arc<str>), Session>,
}

#[derive(Debug)]
struct Session {
    version: VersionId,
    expires_at: Instant,
}

impl Sessions {
    pub(super) fn new(settings: &Settings) -> Self {
        Self {
            idle_timeout: settings.session_idle_timeout,
            sessions: IndexMap::new(),
        }
    }

    /// The version that serves a session; `None` if the session is unknown or has expired.
    pub fn version(&self, now: Instant, pool: &PoolId, session: &Arc<str>) -> Option<&VersionId> {
        let known = self.sessions.get(&(pool.clone(), session.clone()))?;
        (known.expires_at > now).then_some(&known.version)
    }

    /// The names, versions and expiry times of the sessions of a pool.
    pub(crate) fn in_pool<'a>(
        &'a self,
        pool: &'a PoolId,
    ) -> impl Iterator<Item = (&'a Arc<str>, &'a VersionId, Instant)> {
        let sessions = self
            .sessions
            .iter()
            .filter(move |((session_pool, _), _)| session_pool == pool);
        sessions.map(|((_, name), it)| (name, &it.version, it.expires_at))
    }

    /// Records that a version is serving a session or has just served it, and extends the session.
    pub(crate) fn touch(
        &mut self,
        now: Instant,
        pool: &PoolId,
        session: &Arc<str>,
        version: &VersionId,
    ) {
        let key = (pool.clone(), session.clone());
        self.sessions.shift_remove(&key);
        let session = Session {
            version: version.clone(),
            expires_at: now + self.idle_timeout,
        };
        self.sessions.insert(key, session);
        if self.sessions.len() > MAX_SESSIONS {
            self.sessions.shift_remove_index(0);
        }
    }
}

impl Controller for Sessions {
    fn handle(&mut self, now: Now, event: &Event, _: &mut Outbox) {
        if matches!(event, Event::Tick) {
            let has_expired = |session: &Session| session.expires_at <= now.instant;
            let expired = self
                .sessions
                .values()
                .take_while(|it| has_expired(it))
                .count();
            self.sessions.drain(..expired);
        }
    }
}
