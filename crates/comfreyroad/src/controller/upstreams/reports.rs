use std::time::{Duration, Instant, SystemTime};

use super::Upstreams;
use crate::clock::Now;
use crate::event::Event;
use crate::frame::Heartbeat;
use crate::id::{BootId, UpstreamId};
use crate::outbox::Outbox;
use crate::rendezvous;
use crate::upstream::{Any, Info, Load};

/// Uptime from which an upstream is assumed to be warm if no entry knows better.
const ASSUMED_WARM_UPTIME: Duration = Duration::from_secs(60);
/// Minimum difference between two start times for which they are taken for two starts.
const MIN_START_DIFFERENCE: Duration = Duration::from_secs(1);

/// Number of entries notified at once of a restart.
const ALERT_FANOUT: usize = 3;

/// An observation of an upstream, from its own report or from a peer's digest.
pub(super) struct Observation<'a> {
    pub(super) load: &'a Load,
    pub(super) started_at: SystemTime,
    pub(super) clear_seq: u64,
    pub(super) good: u32,
    /// Whether `good` is assumed because of a long uptime.
    pub(super) is_assumed_warm: bool,
}

/// Relation of an observation to the known boot of an upstream.
enum Relation {
    /// About an earlier boot, or too old to decide.
    Outdated,
    /// About the known boot.
    SameBoot,
    /// About the boot that was known before a restart was suspected: the suspicion was wrong.
    NotRestarted,
    /// About the first boot that this entry learns of.
    FirstBoot,
    /// About a later boot.
    NewBoot,
}

impl Upstreams {
    /// Handles an upstream's answer to a load poll.
    pub(super) fn on_load(
        &mut self,
        now: Now,
        id: &UpstreamId,
        load: Option<&Load>,
        out: &mut Outbox,
    ) {
        let Some(load) = load else { return };
        let started_at = load.at.checked_sub(load.uptime).unwrap_or(load.at);
        let is_long_up = load.uptime >= ASSUMED_WARM_UPTIME;
        let observation = Observation {
            load,
            started_at,
            clear_seq: 0,
            good: if is_long_up { u32::MAX } else { 0 },
            is_assumed_warm: is_long_up,
        };
        let is_new = self.observe(now, id, &observation, out);
        self.record_first_hand(now, id, load);
        if is_new {
            out.raise(Event::CapacityFreed);
        }
    }

    /// Records that this entry itself has seen the known boot.
    fn record_first_hand(&mut self, now: Now, id: &UpstreamId, load: &Load) {
        let Some(upstream) = self.upstreams.get_mut(id) else {
            return;
        };
        let info = upstream.info_mut();
        if info.boot.as_ref() == Some(&load.boot) {
            info.evidence.record_own_sighting(to_instant(now, load.at));
        }
    }

    /// Applies an observation. Returns whether it is newer than what was known.
    pub(super) fn observe(
        &mut self,
        now: Now,
        id: &UpstreamId,
        observation: &Observation<'_>,
        out: &mut Outbox,
    ) -> bool {
        let Some(upstream) = self.upstreams.get(id) else {
            return false;
        };
        let info = upstream.info();
        let boot = observation.load.boot.clone();
        let good = match Self::classify(now, info, observation) {
            Relation::Outdated => return false,
            Relation::SameBoot => 0,
            Relation::FirstBoot => {
                self.set_assumed(id, observation.is_assumed_warm);
                observation.good
            }
            Relation::NotRestarted => self.end_suspicion(now, id),
            Relation::NewBoot => {
                self.restart(now, id, Some(boot), Some(observation.started_at), out);
                self.digest_queue.push_urgent(id);
                self.alert_peers(id, out);
                0
            }
        };
        self.apply(now, id, observation, good, out)
    }

    /// Sends frames to a few entries of the zone at once.
    pub(super) fn alert_peers(&self, id: &UpstreamId, out: &mut Outbox) {
        let peers = self.view.members.values();
        let peers = peers.filter(|beat| beat.zone == self.zone && beat.entry != self.entry);
        let mut peers: Vec<&Heartbeat> = peers.collect();
        peers.sort_by_cached_key(|beat| {
            rendezvous::hash(&format!("{}/{id}", self.entry), &beat.entry)
        });
        for beat in peers.into_iter().take(ALERT_FANOUT) {
            let to = beat.address.clone();
            out.raise(Event::Gossip { to });
        }
    }

    fn classify(now: Now, info: &Info, observation: &Observation<'_>) -> Relation {
        let (evidence, boot) = (&info.evidence, &observation.load.boot);
        if evidence.previous_boot.as_ref() == Some(boot) {
            return Relation::Outdated;
        }
        let doubt = evidence.suspicion.as_ref();
        let (known, started_at) = match doubt {
            Some(doubt) => (&doubt.boot, doubt.started_at),
            None => (&info.boot, evidence.started_at),
        };
        let Some(known) = known else {
            return Relation::FirstBoot;
        };
        // Report times of one upstream are ordered, even across restarts.
        let is_newest = evidence
            .reported_at
            .is_none_or(|at| at < observation.load.at);
        let is_settled = doubt.is_none_or(|doubt| doubt.is_resolved_by(observation.load.at, now));
        match (known == boot, is_later(observation.started_at, started_at)) {
            (true, false) if !is_settled => Relation::Outdated,
            (true, false) if doubt.is_some() => Relation::NotRestarted,
            (true, false) => Relation::SameBoot,
            (false, _) if !is_newest => Relation::Outdated,
            (_, true) | (false, _) => Relation::NewBoot,
        }
    }

    pub(super) fn set_assumed(&mut self, id: &UpstreamId, is_assumed_warm: bool) {
        if let Some(upstream) = self.upstreams.get_mut(id) {
            upstream.info_mut().evidence.is_assumed_warm = is_assumed_warm;
        }
    }

    /// Ends a wrong restart suspicion by restoring what was known before. Returns the good answers known then.
    fn end_suspicion(&mut self, now: Now, id: &UpstreamId) -> u32 {
        let Some(upstream) = self.upstreams.get_mut(id) else {
            return 0;
        };
        let info = upstream.info_mut();
        let Some(doubt) = info.evidence.suspicion.take() else {
            return 0;
        };
        (info.boot, info.evidence.started_at) = (doubt.boot, doubt.started_at);
        self.assign_slots(now, id);
        self.digest_queue.withdraw_restart_hint(id);
        doubt.good_answers
    }

    fn apply(
        &mut self,
        now: Now,
        id: &UpstreamId,
        observation: &Observation<'_>,
        good: u32,
        out: &mut Outbox,
    ) -> bool {
        let Some(upstream) = self.upstreams.get_mut(id) else {
            return false;
        };
        let info = upstream.info_mut();
        let boot = Some(observation.load.boot.clone());
        let is_new = std::mem::replace(&mut info.boot, boot) != info.boot;
        info.evidence
            .started_at
            .get_or_insert(observation.started_at);
        info.evidence.suspicion = None;
        info.evidence.reported_at = info.evidence.reported_at.max(Some(observation.load.at));
        let seen_at = to_instant(now, observation.load.at);
        info.evidence.record_sighting(seen_at);
        let is_newer = info
            .load
            .as_ref()
            .is_none_or(|known| known.at < observation.load.at);
        if is_newer {
            let is_idle = observation.load.running + observation.load.waiting == 0;
            info.allocation.record_report(seen_at, is_idle);
            info.load = Some(observation.load.clone());
        }
        if observation.clear_seq > info.evidence.clear_seq {
            let clear_seq = observation.clear_seq;
            self.change(now, id, |upstream| upstream.clear_caches(clear_seq), out);
        }
        if is_new {
            self.assign_slots(now, id);
        }
        self.credit_good_answers(now, id, good, out);
        is_newer
    }

    /// Raises the number of good answers that an upstream is known to have given since its start.
    pub(super) fn credit_good_answers(
        &mut self,
        now: Now,
        id: &UpstreamId,
        good: u32,
        out: &mut Outbox,
    ) {
        let Some(upstream) = self.upstreams.get(id) else {
            return;
        };
        if good <= upstream.good_answers() {
            return;
        }
        let threshold = self.warm_threshold(upstream.info()).unwrap_or(u32::MAX);
        self.change(
            now,
            id,
            |upstream| upstream.record_good_answers(good, threshold, now.instant),
            out,
        );
    }

    pub(super) fn restart(
        &mut self,
        now: Now,
        id: &UpstreamId,
        boot: Option<BootId>,
        started_at: Option<SystemTime>,
        out: &mut Outbox,
    ) {
        self.change(now, id, |upstream| upstream.restart(boot, started_at), out);
    }

    /// Handles emptied caches: the upstream is as cold as after a start.
    pub(super) fn on_cleared(&mut self, now: Now, id: &UpstreamId, seq: u64, out: &mut Outbox) {
        let known = self.upstreams.get(id);
        if known.is_none_or(|upstream| upstream.info().evidence.clear_seq >= seq) {
            return;
        }
        self.change(now, id, |upstream: Any| upstream.clear_caches(seq), out);
        self.digest_queue.push_urgent(id);
    }
}

fn is_later(started_at: SystemTime, known: Option<SystemTime>) -> bool {
    known.is_none_or(|known| started_at > known + MIN_START_DIFFERENCE)
}

/// Converts a wall-clock time to this entry's monotonic clock.
fn to_instant(now: Now, at: SystemTime) -> Instant {
    let age = now.system.duration_since(at).unwrap_or_default();
    now.instant.checked_sub(age).unwrap_or(now.instant)
}
