//! Exchange of recent failures between entries.
//!
//! Answers the pattern in which engines of a large fleet fall silent: an entry that sends each engine a request in many seconds
//! would need several failures of its own before it ejects one. An engine that fails only part of its requests, or only those
//! of an entry with a broken link, soon answers another entry, which ends the suspicion.

use std::time::{Duration, Instant};

use super::Upstreams;
use crate::frame::Suspicion;
use crate::note::{self, Note};
use crate::outbox::Outbox;
use crate::upstream::Upstream;

/// Maximum number of suspicions in a frame. More failures than that have a common cause.
const MAX_SUSPICIONS_PER_FRAME: usize = 64;

impl Upstreams {
    /// The suspicions for a frame.
    pub(super) fn suspicions(&self, now: Instant) -> Vec<Suspicion> {
        let suspected = self.upstreams.values().filter(|it| it.is_suspected(now));
        let suspicion = |upstream: &Upstream| Suspicion {
            upstream: upstream.id.clone(),
            incarnation: upstream.registration.incarnation,
            age: upstream.failed_at.map_or(Duration::ZERO, |failed_at| {
                now.saturating_duration_since(failed_at)
            }),
        };
        suspected
            .take(MAX_SUSPICIONS_PER_FRAME)
            .map(suspicion)
            .collect()
    }

    /// Takes the suspicions of a peer.
    pub(super) fn on_suspicions(
        &mut self,
        now: Instant,
        suspicions: &[Suspicion],
        out: &mut Outbox,
    ) {
        for suspicion in suspicions {
            let key = (&suspicion.upstream, suspicion.incarnation, suspicion.age);
            let Some((upstream, failed_at)) = self.reported(now, key) else {
                continue;
            };
            if upstream.suspect(now, failed_at) {
                let note = Note::new(&note::UPSTREAM_SUSPECTED).with("upstream", &upstream.id);
                out.note(note.with("failed_ms_ago", suspicion.age.as_millis()));
            }
        }
    }
}
