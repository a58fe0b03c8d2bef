use std::time::{Duration, Instant, SystemTime};

use super::Upstreams;
use crate::clock::Now;
use crate::event::Event;
use crate::frame::Beat;
use crate::id::{BootId, UpstreamId};
use crate::outbox::Outbox;
use crate::rendezvous;
use crate::upstream::{Any, Info, Load};

/// Uptime from which an upstream that nobody knows better counts as warm.
const LONG_UP: Duration = Duration::from_secs(60);
/// Difference between two times of a start by which they are taken for two starts.
const TWO_STARTS: Duration = Duration::from_secs(1);

/// Entries told at once of a new start.
const ALARMED: usize = 3;

/// What is said of an upstream, by itself or by a peer.
pub(super) struct Word<'a> {
    pub(super) load: &'a Load,
    pub(super) born: SystemTime,
    pub(super) cleared: u64,
    pub(super) good: u32,
    /// Whether that is assumed for a long uptime.
    pub(super) is_assumed: bool,
}

/// How a word stands to what is known.
enum Sense {
    /// It is about an earlier start, or too old to tell.
    Past,
    /// It is about the known start.
    Same,
    /// It is about the start that was known before something hinted at a new one.
    Regained,
    /// It is about the first start that this entry hears of.
    First,
    /// It is about a later start.
    Later,
}

impl Upstreams {
    /// Takes an upstream's answer to the question for its load.
    pub(super) fn on_answer(
        &mut self,
        now: Now,
        id: &UpstreamId,
        load: Option<&Load>,
        out: &mut Outbox,
    ) {
        let Some(load) = load else { return };
        let born = load.at.checked_sub(load.uptime).unwrap_or(load.at);
        let is_long_up = load.uptime >= LONG_UP;
        let word = Word {
            load,
            born,
            cleared: 0,
            good: if is_long_up { u32::MAX } else { 0 },
            is_assumed: is_long_up,
        };
        let is_new = self.learn(now, id, &word, out);
        self.witness(now, id, load);
        if is_new {
            out.raise(Event::Room);
        }
    }

    fn witness(&mut self, now: Now, id: &UpstreamId, load: &Load) {
        let Some(upstream) = self.known.get_mut(id) else {
            return;
        };
        let info = upstream.info_mut();
        if info.boot.as_ref() == Some(&load.boot) {
            info.evidence.witness(moment(now, load.at));
        }
    }

    /// Takes a word in; says whether anything is new in it.
    pub(super) fn learn(
        &mut self,
        now: Now,
        id: &UpstreamId,
        word: &Word<'_>,
        out: &mut Outbox,
    ) -> bool {
        let Some(upstream) = self.known.get(id) else {
            return false;
        };
        let info = upstream.info();
        let boot = word.load.boot.clone();
        let good = match Self::sense(now, info, word) {
            Sense::Past => return false,
            Sense::Same => 0,
            Sense::First => {
                self.assume(id, word.is_assumed);
                word.good
            }
            Sense::Regained => self.regain(now, id),
            Sense::Later => {
                self.restart(now, id, Some(boot), Some(word.born), out);
                self.told.hurry(id);
                self.alarm(id, out);
                0
            }
        };
        self.adopt(now, id, word, good, out)
    }

    /// Tells a few entries of the zone at once.
    pub(super) fn alarm(&self, id: &UpstreamId, out: &mut Outbox) {
        let near = self.view.members.values();
        let near = near.filter(|beat| beat.zone == self.zone && beat.entry != self.own);
        let mut near: Vec<&Beat> = near.collect();
        near.sort_by_cached_key(|beat| {
            rendezvous::weight(&format!("{}/{id}", self.own), &beat.entry)
        });
        for beat in near.into_iter().take(ALARMED) {
            let to = beat.address.clone();
            out.raise(Event::Gossip { to });
        }
    }

    fn sense(now: Now, info: &Info, word: &Word<'_>) -> Sense {
        let (evidence, boot) = (&info.evidence, &word.load.boot);
        if evidence.former.as_ref() == Some(boot) {
            return Sense::Past;
        }
        let doubt = evidence.doubt.as_ref();
        let (known, born) = match doubt {
            Some(doubt) => (&doubt.boot, doubt.born),
            None => (&info.boot, evidence.born),
        };
        let Some(known) = known else {
            return Sense::First;
        };
        // Reports of one upstream are true in the order of their times, also over its starts.
        let is_newest = evidence.at.is_none_or(|at| at < word.load.at);
        let is_settled = doubt.is_none_or(|doubt| doubt.is_settled_by(word.load.at, now));
        match (known == boot, is_later(word.born, born)) {
            (true, false) if !is_settled => Sense::Past,
            (true, false) if doubt.is_some() => Sense::Regained,
            (true, false) => Sense::Same,
            (false, _) if !is_newest => Sense::Past,
            (_, true) | (false, _) => Sense::Later,
        }
    }

    pub(super) fn assume(&mut self, id: &UpstreamId, is_assumed: bool) {
        if let Some(upstream) = self.known.get_mut(id) {
            upstream.info_mut().evidence.is_assumed = is_assumed;
        }
    }

    /// The hint was wrong: what was known holds again.
    fn regain(&mut self, now: Now, id: &UpstreamId) -> u32 {
        let Some(upstream) = self.known.get_mut(id) else {
            return 0;
        };
        let info = upstream.info_mut();
        let Some(doubt) = info.evidence.doubt.take() else {
            return 0;
        };
        (info.boot, info.evidence.born) = (doubt.boot, doubt.born);
        self.divide(now, id);
        self.told.calm(id);
        doubt.good
    }

    fn adopt(
        &mut self,
        now: Now,
        id: &UpstreamId,
        word: &Word<'_>,
        good: u32,
        out: &mut Outbox,
    ) -> bool {
        let Some(upstream) = self.known.get_mut(id) else {
            return false;
        };
        let info = upstream.info_mut();
        let boot = Some(word.load.boot.clone());
        let is_new = std::mem::replace(&mut info.boot, boot) != info.boot;
        info.evidence.born.get_or_insert(word.born);
        info.evidence.doubt = None;
        info.evidence.at = info.evidence.at.max(Some(word.load.at));
        let seen = moment(now, word.load.at);
        info.evidence.see(seen);
        let is_newer = info
            .load
            .as_ref()
            .is_none_or(|known| known.at < word.load.at);
        if is_newer {
            let is_idle = word.load.running + word.load.waiting == 0;
            info.share.report(seen, is_idle);
            info.load = Some(word.load.clone());
        }
        if word.cleared > info.evidence.cleared {
            let cleared = word.cleared;
            self.change(now, id, |upstream| upstream.clear(cleared), out);
        }
        if is_new {
            self.divide(now, id);
        }
        self.prove(now, id, good, out);
        is_newer
    }

    /// It is known to have given this many good answers since its start.
    pub(super) fn prove(&mut self, now: Now, id: &UpstreamId, good: u32, out: &mut Outbox) {
        let Some(upstream) = self.known.get(id) else {
            return;
        };
        if good <= upstream.good() {
            return;
        }
        let full = self.full(upstream.info()).unwrap_or(u32::MAX);
        self.change(
            now,
            id,
            |upstream| upstream.prove(good, full, now.instant),
            out,
        );
    }

    pub(super) fn restart(
        &mut self,
        now: Now,
        id: &UpstreamId,
        boot: Option<BootId>,
        born: Option<SystemTime>,
        out: &mut Outbox,
    ) {
        self.change(now, id, |upstream| upstream.restart(boot, born), out);
    }

    /// Its caches were emptied: it is as cold as after a start.
    pub(super) fn on_cleared(&mut self, now: Now, id: &UpstreamId, seq: u64, out: &mut Outbox) {
        let known = self.known.get(id);
        if known.is_none_or(|upstream| upstream.info().evidence.cleared >= seq) {
            return;
        }
        self.change(now, id, |upstream: Any| upstream.clear(seq), out);
        self.told.hurry(id);
    }
}

fn is_later(born: SystemTime, known: Option<SystemTime>) -> bool {
    known.is_none_or(|known| born > known + TWO_STARTS)
}

/// When something was true, on this entry's own clock.
fn moment(now: Now, at: SystemTime) -> Instant {
    let age = now.system.duration_since(at).unwrap_or_default();
    now.instant.checked_sub(age).unwrap_or(now.instant)
}
