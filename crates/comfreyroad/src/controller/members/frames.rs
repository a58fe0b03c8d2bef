use super::{Heard, Members};
use crate::clock::Now;
use crate::frame::{Beat, Frame};
use crate::id::Address;
use crate::mechanism::Mechanism;
use crate::note::{self, Note};
use crate::outbox::Outbox;

/// News in one frame at most.
const NEWS: usize = 16;
/// Other heartbeats in one frame, by which views grow alike again.
const SAMPLES: usize = 2;
/// Difference in size by which two views are taken to have been split.
const SPLIT: u32 = 8;

impl Members {
    pub(super) fn on_frame(&mut self, now: Now, frame: &Frame, out: &mut Outbox) {
        if let Some(number) = frame.answers {
            self.contact.hear(number);
        }
        if frame.is_brief {
            return;
        }
        for beat in &frame.beats {
            self.hear(now, beat, out);
        }
        if frame.wants_all {
            self.askers.insert(frame.address.clone());
        }
        let own = self.heard.len() as u32 + 1;
        self.wants_all = frame.members > own + SPLIT;
    }

    /// Takes a heartbeat.
    fn hear(&mut self, now: Now, beat: &Beat, out: &mut Outbox) {
        if beat.entry == self.own.entry {
            return self.hear_of_self(beat);
        }
        let is_dead = |(lost, _): &(Beat, _)| !beat.is_newer_than(lost) || beat.suspect;
        if self.has(Mechanism::Tombstones) && self.lost.get(&beat.entry).is_some_and(is_dead) {
            return;
        }
        self.note_listed(now, beat);
        let is_known = self.heard.contains_key(&beat.entry);
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
        self.lost.swap_remove(&beat.entry);
        let was_listed = self.listed.contains_key(&beat.entry);
        let times = self.times();
        let heard = self
            .heard
            .entry(beat.entry.clone())
            .or_insert_with(|| Heard::new(beat.clone()));
        heard.was_listed |= was_listed;
        if is_known && !beat.is_newer_than(&heard.beat) {
            return;
        }
        let is_news = !is_known
            || heard.beat.boot != beat.boot
            || heard.beat.serving != beat.serving
            || heard.beat.suspect != beat.suspect;
        heard.beat = beat.clone();
        heard.lost_at = match (beat.suspect, heard.lost_at) {
            (false, _) => None,
            (true, Some(at)) => Some(at),
            (true, None) => Some(now.instant + self.timeout),
        };
        if is_news {
            self.has_news = true;
            self.rumours.add(beat.clone(), times);
        }
    }

    /// Someone says that this entry does not answer: a newer heartbeat says that it does.
    fn hear_of_self(&mut self, beat: &Beat) {
        let is_own = beat.boot == self.own.boot;
        if beat.suspect && is_own {
            self.own.count = self.own.count.max(beat.count);
            self.spread_own();
        }
        // An earlier start of this entry whose clock was ahead must not outlive it.
        if !is_own && beat.born >= self.own.born {
            self.own.born = beat.born + std::time::Duration::from_millis(1);
            self.spread_own();
        }
    }

    fn note_listed(&mut self, now: Now, beat: &Beat) {
        let Some(listed) = self.listed.get_mut(&beat.entry) else {
            return;
        };
        if !beat.suspect {
            listed.heard = now.instant;
            listed.has_left = !beat.serving;
        }
    }

    pub(super) fn fill_frame(&mut self, now: Now, to: &Address, frame: &mut Frame) {
        self.contact.send(now.instant, frame.number);
        frame.members = self.heard.len() as u32 + 1;
        frame.wants_all = self.wants_all;
        frame.beats.push(self.own.clone());
        self.accuse(to, frame);
        if self.askers.swap_remove(to) {
            let all = self.heard.values().map(|heard| heard.beat.clone());
            return frame.beats.extend(all);
        }
        let receiver = self.heard.values().find(|heard| heard.beat.address == *to);
        let zone = receiver.map(|heard| &heard.beat.zone);
        frame.beats.extend(self.rumours.take(NEWS, zone));
        for _ in 0..SAMPLES.min(self.heard.len()) {
            let index = self.rng.usize(..self.heard.len());
            frame.beats.push(self.heard[index].beat.clone());
        }
    }

    /// Tells a peer that it is suspected or lost, so that it can answer.
    fn accuse(&self, to: &Address, frame: &mut Frame) {
        let suspects = self.heard.values().map(|heard| &heard.beat);
        let suspects = suspects.filter(|beat| beat.suspect);
        let lost = self.lost.values().map(|(beat, _)| beat);
        let Some(beat) = suspects.chain(lost).find(|beat| beat.address == *to) else {
            return;
        };
        let suspect = true;
        frame.beats.push(Beat {
            suspect,
            ..beat.clone()
        });
    }
}
