//! The versions that sessions have, so that a rollout moves no session under way.

use std::sync::Arc;
use std::time::{Duration, Instant};

use comfreyroad::clock::Now;
use indexmap::IndexMap;

use super::Controller;
use crate::id::{PoolId, VersionId};
use crate::outbox::Outbox;
use crate::{Event, Settings};

/// Sessions remembered at most; with more, the ones that were quiet longest are forgotten. At 500 requests a second and
/// 8 s a session this holds all of them.
const MAX_SESSIONS: usize = 4096;

/// Keeps the versions of sessions.
#[derive(Debug)]
pub struct Sessions {
    lasts: Duration,
    // In the order of their last requests.
    known: IndexMap<(PoolId, Arc<str>), Session>,
}

#[derive(Debug)]
struct Session {
    version: VersionId,
    ends: Instant,
}

impl Sessions {
    pub(super) fn new(settings: &Settings) -> Self {
        Self {
            lasts: settings.session_idle_timeout,
            known: IndexMap::new(),
        }
    }

    /// The version of a session that goes on.
    pub fn version(&self, now: Instant, pool: &PoolId, session: &Arc<str>) -> Option<&VersionId> {
        let known = self.known.get(&(pool.clone(), session.clone()))?;
        (known.ends > now).then_some(&known.version)
    }

    /// The sessions of a pool that go on: their names, versions and ends.
    pub(crate) fn in_pool<'a>(
        &'a self,
        pool: &'a PoolId,
    ) -> impl Iterator<Item = (&'a Arc<str>, &'a VersionId, Instant)> {
        let known = self.known.iter().filter(move |((of, _), _)| of == pool);
        known.map(|((_, name), it)| (name, &it.version, it.ends))
    }

    /// A request of a session was sent, or its answer has ended.
    pub(crate) fn touch(
        &mut self,
        now: Instant,
        pool: &PoolId,
        session: &Arc<str>,
        version: &VersionId,
    ) {
        let place = (pool.clone(), session.clone());
        self.known.shift_remove(&place);
        let session = Session {
            version: version.clone(),
            ends: now + self.lasts,
        };
        self.known.insert(place, session);
        if self.known.len() > MAX_SESSIONS {
            self.known.shift_remove_index(0);
        }
    }
}

impl Controller for Sessions {
    fn handle(&mut self, now: Now, event: &Event, _: &mut Outbox) {
        if matches!(event, Event::Tick) {
            let is_over = |session: &Session| session.ends <= now.instant;
            let over = self.known.values().take_while(|it| is_over(it)).count();
            self.known.drain(..over);
        }
    }
}
