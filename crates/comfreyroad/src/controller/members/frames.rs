use super::{Members, Peer};
use crate::clock::Now;
use crate::frame::{Frame, Heartbeat};
use crate::id::Address;
use crate::mechanism::Mechanism;
use crate::note::{self, Note};
use crate::outbox::Outbox;

/// Maximum number of updates in one frame.
const MAX_UPDATES: usize = 16;
/// Random heartbeats added to a frame, so that diverged views converge again.
const RANDOM_BEATS: usize = 2;
/// A peer that knows more than this many additional entries has a view that was partitioned from this entry's.
const SPLIT_DIFFERENCE: u32 = 8;

impl Members {
    pub(super) fn on_frame(&mut self, now: Now, frame: &Frame, out: &mut Outbox) {
        if let Some(number) = frame.acknowledged {
            self.connectivity.acknowledge(number);
        }
        if frame.is_rules_only {
            return;
        }
        for beat in &frame.heartbeats {
            self.on_beat(now, beat, out);
        }
        if frame.wants_full_sync {
            self.sync_requesters.insert(frame.address.clone());
        }
        let known_entries = self.peers.len() as u32 + 1;
        self.needs_full_sync = frame.member_count > known_entries + SPLIT_DIFFERENCE;
    }

    /// Applies a heartbeat.
    fn on_beat(&mut self, now: Now, beat: &Heartbeat, out: &mut Outbox) {
        if beat.entry == self.own_beat.entry {
            return self.on_own_beat(beat);
        }
        let is_outdated = |(last, _): &(Heartbeat, _)| !beat.is_newer_than(last) || beat.suspect;
        if self.is_enabled(Mechanism::Tombstones)
            && self.tombstones.get(&beat.entry).is_some_and(is_outdated)
        {
            return;
        }
        self.update_listed(now, beat);
        let is_known = self.peers.contains_key(&beat.entry);
        if !is_known && beat.suspect {
            return;
        }
        if !is_known {
            out.note(
                Note::new(&note::PEER_JOINED)
                    .with("peer", &beat.entry)
                    .with("zone", &beat.zone),
            );
        }
        self.tombstones.swap_remove(&beat.entry);
        let was_listed = self.listed.contains_key(&beat.entry);
        let transmissions = self.update_transmissions();
        let peer = self
            .peers
            .entry(beat.entry.clone())
            .or_insert_with(|| Peer::new(beat.clone()));
        peer.was_listed |= was_listed;
        if is_known && !beat.is_newer_than(&peer.beat) {
            return;
        }
        let is_change = !is_known
            || peer.beat.boot != beat.boot
            || peer.beat.serving != beat.serving
            || peer.beat.suspect != beat.suspect;
        peer.beat = beat.clone();
        peer.suspect_until = match (beat.suspect, peer.suspect_until) {
            (false, _) => None,
            (true, Some(at)) => Some(at),
            (true, None) => Some(now.instant + self.timeout),
        };
        if is_change {
            self.has_changes = true;
            self.updates.add(beat.clone(), transmissions);
        }
    }

    /// Refutes a suspicion against this entry with a newer heartbeat.
    fn on_own_beat(&mut self, beat: &Heartbeat) {
        let is_own = beat.boot == self.own_beat.boot;
        if beat.suspect && is_own {
            self.own_beat.sequence = self.own_beat.sequence.max(beat.sequence);
            self.announce_self();
        }
        // The clock of an earlier start may have been ahead; its heartbeats must not supersede those of this start.
        if !is_own && beat.started_at >= self.own_beat.started_at {
            self.own_beat.started_at = beat.started_at + std::time::Duration::from_millis(1);
            self.announce_self();
        }
    }

    fn update_listed(&mut self, now: Now, beat: &Heartbeat) {
        let Some(listed) = self.listed.get_mut(&beat.entry) else {
            return;
        };
        if !beat.suspect {
            listed.last_heard = now.instant;
            listed.has_stopped_serving = !beat.serving;
        }
    }

    pub(super) fn fill_frame(&mut self, now: Now, to: &Address, frame: &mut Frame) {
        self.connectivity.record_sent(now.instant, frame.sequence);
        frame.member_count = self.peers.len() as u32 + 1;
        frame.wants_full_sync = self.needs_full_sync;
        frame.heartbeats.push(self.own_beat.clone());
        self.add_suspicion(to, frame);
        if self.sync_requesters.swap_remove(to) {
            let all = self.peers.values().map(|peer| peer.beat.clone());
            return frame.heartbeats.extend(all);
        }
        let receiver = self.peers.values().find(|peer| peer.beat.address == *to);
        let zone = receiver.map(|peer| &peer.beat.zone);
        frame
            .heartbeats
            .extend(self.updates.take(MAX_UPDATES, zone));
        for _ in 0..RANDOM_BEATS.min(self.peers.len()) {
            let index = self.rng.usize(..self.peers.len());
            frame.heartbeats.push(self.peers[index].beat.clone());
        }
    }

    /// Tells a peer that it is a suspect or was removed, so that it can refute that.
    fn add_suspicion(&self, to: &Address, frame: &mut Frame) {
        let suspects = self.peers.values().map(|peer| &peer.beat);
        let suspects = suspects.filter(|beat| beat.suspect);
        let removed = self.tombstones.values().map(|(beat, _)| beat);
        let Some(beat) = suspects.chain(removed).find(|beat| beat.address == *to) else {
            return;
        };
        let suspect = true;
        frame.heartbeats.push(Heartbeat {
            suspect,
            ..beat.clone()
        });
    }
}
