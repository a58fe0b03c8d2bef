//! Upstreams that reject requests and want no more from this entry for a time.
//!
//! Answers the load pattern in which upstreams turn requests away under a burst: what they reject again is lost time for callers, and
//! callers of upstreams that are all paused know at once when to come back.

use std::time::{Duration, Instant};

use super::Upstreams;
use crate::answer::{Head, Statement};
use crate::id::PoolId;
use crate::note::{self, Note};
use crate::outbox::Outbox;
use crate::upstream::{Slot, Upstream};

/// HTTP status of an upstream that rejects a request for a time.
const UNAVAILABLE: u16 = 503;
/// Longest pause. An upstream that states a longer one is asked again after this time.
const MAX_PAUSE: Duration = Duration::from_secs(60);

impl Upstreams {
    pub(super) fn on_retry_after(
        &mut self,
        now: Instant,
        slot: &Slot,
        head: &Head,
        out: &mut Outbox,
    ) {
        let (UNAVAILABLE, Statement::Stated(time)) = (head.status, head.retry_after) else {
            return;
        };
        let Some(upstream) = self.upstream_of(slot) else {
            return;
        };
        if !upstream.is_paused(now) && !time.is_zero() {
            let note = Note::new(&note::UPSTREAM_PAUSED).with("upstream", &upstream.id);
            out.note(note.with("for_ms", time.as_millis()));
        }
        let until = now + time.min(MAX_PAUSE);
        // Answers may overtake each other, so a shorter pause does not end a longer one.
        upstream.paused_until = upstream.paused_until.max(Some(until));
    }

    /// When the first pause in a pool ends, if all of its upstreams are paused.
    pub(crate) fn pool_paused_until(&self, now: Instant, pool: &PoolId) -> Option<Instant> {
        let in_pool = |it: &&Upstream| it.registration.pool == *pool && it.is_ready(now);
        let mut earliest: Option<Instant> = None;
        for upstream in self.upstreams.values().filter(in_pool) {
            let until = upstream.paused_until.filter(|until| *until > now)?;
            earliest = Some(earliest.map_or(until, |known| known.min(until)));
        }
        earliest
    }
}
