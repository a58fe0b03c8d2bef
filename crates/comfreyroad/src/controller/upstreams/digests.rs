use std::time::Duration;

use indexmap::{IndexMap, IndexSet};

use super::Upstreams;
use super::reports::Word;
use crate::clock::Now;
use crate::frame::{Digest, Frame};
use crate::id::{Address, UpstreamId};
use crate::outbox::Outbox;
use crate::upstream::{Any, Load};

/// Digests in a frame within the zone.
const NEAR: usize = 8;
/// Digests in a frame to another zone.
const FAR: usize = 3;
/// Age of a report up to which it is passed on.
const FRESH: Duration = Duration::from_secs(3);
/// Time between two hints by peers that are taken for one upstream.
const HINT: Duration = Duration::from_secs(5);
/// Frames by which a change is passed on before all else.
const HURRIES: u32 = 12;

/// What was passed on, and what is to be.
#[derive(Debug, Default)]
pub(super) struct Told {
    next: usize,
    hurried: IndexMap<UpstreamId, u32>,
    doubted: IndexMap<UpstreamId, u32>,
    askers: IndexSet<Address>,
}

impl Told {
    /// An upstream has changed in a way that others should learn at once.
    pub(super) fn hurry(&mut self, id: &UpstreamId) {
        self.doubted.swap_remove(id);
        self.hurried.insert(id.clone(), HURRIES);
    }

    /// Something hints that an upstream has started again.
    pub(super) fn warn(&mut self, id: &UpstreamId) {
        self.doubted.insert(id.clone(), HURRIES);
    }

    /// It has not.
    pub(super) fn calm(&mut self, id: &UpstreamId) {
        self.hurry(id);
    }
}

impl Upstreams {
    pub(super) fn fill_digests(&mut self, now: Now, to: &Address, frame: &mut Frame) {
        let receiver = self.view.members.values().find(|beat| beat.address == *to);
        let zone = receiver.map(|beat| beat.zone.clone());
        if self.told.askers.swap_remove(to) {
            let all = self.known.values();
            let all = all.filter(|it| zone.as_ref().is_none_or(|zone| it.info().zone == *zone));
            return frame.digests.extend(all.filter_map(Self::digest));
        }
        let count = if zone.as_ref() == Some(&self.zone) {
            NEAR
        } else {
            FAR
        };
        self.fill_hurried(count, frame);
        for _ in 0..self.known.len() {
            if frame.digests.len() >= count {
                break;
            }
            self.told.next = (self.told.next + 1) % self.known.len();
            let Some((_, upstream)) = self.known.get_index(self.told.next) else {
                continue;
            };
            let seen = upstream.info().evidence.seen;
            if seen.is_some_and(|seen| seen + FRESH > now.instant) {
                frame.digests.extend(Self::digest(upstream));
            }
        }
    }

    fn fill_hurried(&mut self, count: usize, frame: &mut Frame) {
        for (id, left) in self.told.hurried.iter_mut().take(count) {
            *left = left.saturating_sub(1);
            frame
                .digests
                .extend(self.known.get(id).and_then(Self::digest));
        }
        self.told.hurried.retain(|_, left| *left > 0);
        for (id, left) in self.told.doubted.iter_mut().take(count) {
            *left = left.saturating_sub(1);
            frame.doubts.push(id.clone());
        }
        self.told.doubted.retain(|_, left| *left > 0);
    }

    /// A peer has seen a hint of a new start. It counts once in a while, so that one bad line does no harm to all.
    pub(super) fn on_hints(&mut self, now: Now, hints: &[UpstreamId], out: &mut Outbox) {
        for id in hints {
            let Some(upstream) = self.known.get_mut(id) else {
                continue;
            };
            let evidence = &mut upstream.info_mut().evidence;
            if evidence.hinted.is_some_and(|at| at + HINT > now.instant) {
                continue;
            }
            evidence.hinted = Some(now.instant);
            if upstream.info().boot.is_some() {
                self.doubt(now, id, out);
            }
        }
    }

    fn digest(upstream: &Any) -> Option<Digest> {
        let info = upstream.info();
        let load = info.load.as_ref()?;
        Some(Digest {
            upstream: info.id.clone(),
            boot: info.boot.clone()?,
            at: load.at,
            born: info.evidence.born?,
            cleared: info.evidence.cleared,
            good: upstream.good(),
            is_assumed: info.evidence.is_assumed,
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

    /// Good answers that a peer knows of add to what is proved, never to a later or an earlier start.
    fn on_digest(&mut self, now: Now, digest: &Digest, out: &mut Outbox) {
        let load = Load {
            at: digest.at,
            boot: digest.boot.clone(),
            uptime: digest.at.duration_since(digest.born).unwrap_or_default(),
            running: digest.load,
            waiting: 0,
            slots: digest.slots,
            kv_used: 0.0,
            versions: digest.versions.clone(),
        };
        let word = Word {
            load: &load,
            born: digest.born,
            cleared: digest.cleared,
            good: digest.good,
            is_assumed: digest.is_assumed,
        };
        self.learn(now, &digest.upstream, &word, out);
        let Some(upstream) = self.known.get(&digest.upstream) else {
            return;
        };
        let evidence = &upstream.info().evidence;
        let is_same = upstream.info().boot.as_ref() == Some(&digest.boot)
            && evidence.cleared == digest.cleared
            && evidence.doubt.is_none();
        if !is_same || digest.is_assumed {
            return;
        }
        // Whoever has seen it start knows better than one who has only seen it up for long.
        if evidence.is_assumed {
            let cleared = digest.cleared;
            self.assume(&digest.upstream, false);
            self.change(now, &digest.upstream, |it| it.clear(cleared), out);
        }
        self.prove(now, &digest.upstream, digest.good, out);
    }

    /// A peer that asks for everything is told of each upstream of its zone.
    pub(super) fn note_asker(&mut self, frame: &Frame) {
        if frame.wants_all {
            self.told.askers.insert(frame.address.clone());
        }
    }
}
