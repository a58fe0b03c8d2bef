use std::time::Duration;

use indexmap::{IndexMap, IndexSet};

use super::Upstreams;
use super::reports::Observation;
use crate::clock::Now;
use crate::frame::{Digest, Frame};
use crate::id::{Address, UpstreamId};
use crate::outbox::Outbox;
use crate::upstream::{Any, Load};

/// Maximum number of digests in a frame within the zone.
const OWN_ZONE_DIGESTS: usize = 8;
/// Maximum number of digests in a frame to another zone.
const OTHER_ZONE_DIGESTS: usize = 3;
/// Age up to which a report is gossiped.
const MAX_AGE: Duration = Duration::from_secs(3);
/// Minimum time between two accepted restart hints of peers for one upstream.
const HINT_INTERVAL: Duration = Duration::from_secs(5);
/// Number of frames in which an urgent digest or a restart hint is sent.
const URGENT_FRAMES: u32 = 12;

/// Digests and restart hints that are to be gossiped.
#[derive(Debug, Default)]
pub(super) struct Queue {
    cursor: usize,
    urgent: IndexMap<UpstreamId, u32>,
    restart_hints: IndexMap<UpstreamId, u32>,
    sync_requesters: IndexSet<Address>,
}

impl Queue {
    /// Queues a digest ahead of others, for a change that peers should learn quickly. Ends a restart hint.
    pub(super) fn push_urgent(&mut self, id: &UpstreamId) {
        self.restart_hints.swap_remove(id);
        self.urgent.insert(id.clone(), URGENT_FRAMES);
    }

    /// Queues a hint that an upstream may have restarted.
    pub(super) fn push_restart_hint(&mut self, id: &UpstreamId) {
        self.restart_hints.insert(id.clone(), URGENT_FRAMES);
    }

    /// Withdraws a wrong restart hint, and sends the digest with priority instead.
    pub(super) fn withdraw_restart_hint(&mut self, id: &UpstreamId) {
        self.push_urgent(id);
    }
}

impl Upstreams {
    pub(super) fn fill_digests(&mut self, now: Now, to: &Address, frame: &mut Frame) {
        let receiver = self.view.members.values().find(|beat| beat.address == *to);
        let zone = receiver.map(|beat| beat.zone.clone());
        if self.digest_queue.sync_requesters.swap_remove(to) {
            let all = self.upstreams.values();
            let all = all.filter(|it| zone.as_ref().is_none_or(|zone| it.info().zone == *zone));
            return frame.digests.extend(all.filter_map(Self::digest));
        }
        let count = if zone.as_ref() == Some(&self.zone) {
            OWN_ZONE_DIGESTS
        } else {
            OTHER_ZONE_DIGESTS
        };
        self.fill_urgent(count, frame);
        for _ in 0..self.upstreams.len() {
            if frame.digests.len() >= count {
                break;
            }
            self.digest_queue.cursor = (self.digest_queue.cursor + 1) % self.upstreams.len();
            let Some((_, upstream)) = self.upstreams.get_index(self.digest_queue.cursor) else {
                continue;
            };
            let seen_at = upstream.info().evidence.seen_at;
            if seen_at.is_some_and(|seen_at| seen_at + MAX_AGE > now.instant) {
                frame.digests.extend(Self::digest(upstream));
            }
        }
    }

    fn fill_urgent(&mut self, count: usize, frame: &mut Frame) {
        for (id, left) in self.digest_queue.urgent.iter_mut().take(count) {
            *left = left.saturating_sub(1);
            frame
                .digests
                .extend(self.upstreams.get(id).and_then(Self::digest));
        }
        self.digest_queue.urgent.retain(|_, left| *left > 0);
        for (id, left) in self.digest_queue.restart_hints.iter_mut().take(count) {
            *left = left.saturating_sub(1);
            frame.suspected_restarts.push(id.clone());
        }
        self.digest_queue.restart_hints.retain(|_, left| *left > 0);
    }

    /// Handles hints of peers that upstreams may have restarted. Hints are rate-limited per upstream, so that one bad link
    /// does not affect all entries.
    pub(super) fn on_restart_hints(&mut self, now: Now, hints: &[UpstreamId], out: &mut Outbox) {
        for id in hints {
            let Some(upstream) = self.upstreams.get_mut(id) else {
                continue;
            };
            let evidence = &mut upstream.info_mut().evidence;
            if evidence
                .last_hint_at
                .is_some_and(|at| at + HINT_INTERVAL > now.instant)
            {
                continue;
            }
            evidence.last_hint_at = Some(now.instant);
            if upstream.info().boot.is_some() {
                self.suspect_restart(now, id, out);
            }
        }
    }

    fn digest(upstream: &Any) -> Option<Digest> {
        let info = upstream.info();
        let load = info.load.as_ref()?;
        Some(Digest {
            upstream: info.id.clone(),
            boot: info.boot.clone()?,
            reported_at: load.at,
            started_at: info.evidence.started_at?,
            clear_seq: info.evidence.clear_seq,
            good_answers: upstream.good_answers(),
            is_assumed_warm: info.evidence.is_assumed_warm,
            load: load.running + load.waiting,
            slots: load.slots,
            versions: load.versions.clone(),
        })
    }

    pub(super) fn on_digests(&mut self, now: Now, digests: &[Digest], out: &mut Outbox) {
        for digest in digests {
            self.on_digest(now, digest, out);
        }
    }

    /// Applies a peer's digest. Its good answers count only for the same boot of the upstream.
    fn on_digest(&mut self, now: Now, digest: &Digest, out: &mut Outbox) {
        let load = Load {
            at: digest.reported_at,
            boot: digest.boot.clone(),
            uptime: digest
                .reported_at
                .duration_since(digest.started_at)
                .unwrap_or_default(),
            running: digest.load,
            waiting: 0,
            slots: digest.slots,
            kv_used: 0.0,
            versions: digest.versions.clone(),
        };
        let observation = Observation {
            load: &load,
            started_at: digest.started_at,
            clear_seq: digest.clear_seq,
            good: digest.good_answers,
            is_assumed_warm: digest.is_assumed_warm,
        };
        self.observe(now, &digest.upstream, &observation, out);
        let Some(upstream) = self.upstreams.get(&digest.upstream) else {
            return;
        };
        let evidence = &upstream.info().evidence;
        let is_same_state = upstream.info().boot.as_ref() == Some(&digest.boot)
            && evidence.clear_seq == digest.clear_seq
            && evidence.suspicion.is_none();
        if !is_same_state || digest.is_assumed_warm {
            return;
        }
        // A peer that observed the start overrules the assumption made for a long uptime.
        if evidence.is_assumed_warm {
            let clear_seq = digest.clear_seq;
            self.set_assumed(&digest.upstream, false);
            self.change(now, &digest.upstream, |it| it.clear_caches(clear_seq), out);
        }
        self.credit_good_answers(now, &digest.upstream, digest.good_answers, out);
    }

    /// Records a full sync request, which is answered with the digests of all upstreams in the peer's zone.
    pub(super) fn note_sync_request(&mut self, frame: &Frame) {
        if frame.wants_full_sync {
            self.digest_queue
                .sync_requesters
                .insert(frame.address.clone());
        }
    }
}
