use std::time::{Duration, Instant};

use comfreyroad::quality::{Score, worse};
use indexmap::IndexMap;

use super::phase::{Canary, Complete, Finish, Phase, Revert};
use crate::frame::{Frame, Peer, Progress};
use crate::id::{EntryId, Incarnation, Offset, VersionId};
use crate::note::{self, Note};
use crate::outbox::Outbox;
use crate::rollout::{Order, State, Status, Tally};
use crate::upstream::Pace;

/// Part of the allowed exposure that a canary gets; the rest is for the time between a fault and its detection.
const CANARY: f64 = 0.5;
/// Part of a rollout's time after which all requests begin to move: sessions under way keep the old version in the first half.
const SHIFT_AT: f64 = 0.54;
/// Part of a rollout's time over which they move.
const SHIFT_LASTS: f64 = 0.25;
/// Part of a rollout's time after which it is completed, though the old version still works on something.
const COMPLETE_AT: f64 = 0.88;
/// Least time between the last request to the old version and its end, so that other entries have moved too.
const SETTLE: Duration = Duration::from_millis(1500);
/// Difference of good answers, as a part of all, that a new version may show.
const MARGIN: f64 = 0.05;
/// Logarithm of the evidence at which a version is bad: one false finding in a hundred rollouts.
const EVIDENCE: f64 = 4.605;
/// Time per event, as a factor of the other versions', from which an answer counts as bad: "several times slower".
const SLOW: u32 = 3;
/// Answers of either version before paces are compared.
const PACES: u32 = 4;
/// Time that each entry leaves to the ones before it to write a status.
const TURN: Duration = Duration::from_millis(700);
/// Time between two tries of one entry to write a status.
const WRITE_AGAIN: Duration = Duration::from_millis(600);

/// One rollout.
#[derive(Debug)]
pub(super) struct Rollout {
    pub(super) order: Order,
    /// Place of the order.
    pub(super) offset: Offset,
    began: Instant,
    canary: f64,
    phase: Phase,
    // When the phase came to want a status that is not written yet.
    wants_since: Option<(State, Instant)>,
    write_at: Option<Instant>,
    written: Option<State>,
    own: Tally,
    others: IndexMap<(EntryId, Incarnation), Tally>,
    paces: (Pace, Pace, u32),
}

impl Rollout {
    pub(super) fn new(
        now: Instant,
        offset: Offset,
        order: Order,
        exposure_share: f64,
        own: &Peer,
    ) -> Self {
        let own = Tally {
            pool: order.pool.clone(),
            order: offset,
            entry: own.entry.clone(),
            incarnation: own.incarnation,
            target: Score::default(),
            others: Score::default(),
            others_open: 0,
            revision: 0,
        };
        Self {
            order,
            offset,
            began: now,
            canary: exposure_share * CANARY,
            phase: Phase::Canary(Canary),
            wants_since: None,
            write_at: None,
            written: None,
            own,
            others: IndexMap::new(),
            paces: (Pace::default(), Pace::default(), 0),
        }
    }

    /// What its entries are ordered by.
    pub(super) fn key(&self) -> String {
        format!("{}/{}", self.order.pool, self.offset)
    }

    /// The status that is known to be written.
    pub(super) fn written(&self) -> Option<State> {
        self.written
    }

    pub(super) fn is_completed(&self) -> bool {
        matches!(self.phase, Phase::Complete(_))
    }

    /// Part of new requests that go to the new version.
    pub(super) fn share(&self, now: Instant) -> f64 {
        match self.phase {
            Phase::Canary(_) => self.canary,
            Phase::Shift(shift) => {
                let lasts = self.order.lasts.mul_f64(SHIFT_LASTS).as_secs_f64();
                let since = now.saturating_duration_since(shift.began).as_secs_f64();
                (self.canary + since / lasts.max(0.1)).min(1.0)
            }
            Phase::Finish(_) | Phase::Complete(_) => 1.0,
            Phase::Revert(_) => 0.0,
        }
    }

    pub(super) fn count(&mut self, version: &VersionId, is_good: bool) {
        self.own.revision += 1;
        if *version == self.order.target {
            self.own.target.count(is_good);
        } else {
            self.own.others.count(is_good);
        }
    }

    pub(super) fn open(&mut self, version: &VersionId, is_sent: bool) {
        if *version == self.order.target {
            return;
        }
        self.own.revision += 1;
        let open = &mut self.own.others_open;
        *open = if is_sent {
            *open + 1
        } else {
            open.saturating_sub(1)
        };
    }

    pub(super) fn is_slow(&mut self, version: &VersionId, pace: Duration) -> bool {
        let (target, others, count) = &mut self.paces;
        *count += 1;
        if *version != self.order.target {
            others.add(pace);
            return false;
        }
        target.add(pace);
        let usual = others.mean().filter(|_| *count >= PACES);
        usual.is_some_and(|usual| pace > usual * SLOW)
    }

    /// Takes the counts of another entry.
    pub(super) fn merge(&mut self, tally: &Tally) {
        let is_own = tally.entry == self.own.entry && tally.incarnation == self.own.incarnation;
        if is_own || tally.order != self.offset {
            return;
        }
        let key = (tally.entry.clone(), tally.incarnation);
        let known = self.others.get(&key);
        if known.is_none_or(|known| known.revision < tally.revision) {
            // An earlier start of the same entry has nothing under way any more.
            for ((entry, incarnation), known) in &mut self.others {
                if *entry == tally.entry && *incarnation < tally.incarnation {
                    known.others_open = 0;
                }
            }
            self.others.insert(key, tally.clone());
        }
    }

    /// Takes what another entry knows of the rollout's age and end.
    pub(super) fn hear(&mut self, now: Instant, progress: &Progress, out: &mut Outbox) {
        if progress.order != self.offset {
            return;
        }
        if let Some(began) = now.checked_sub(progress.age) {
            self.began = self.began.min(began);
        }
        if progress.is_bad {
            self.give_up(out);
        }
    }

    /// Takes a status that was read. Returns whether it is news.
    pub(super) fn read(&mut self, status: &Status) -> bool {
        let is_other = status.order != 0 && status.order != self.offset;
        if is_other || status.target != self.order.target || self.written == Some(status.state) {
            return false;
        }
        self.written = Some(status.state);
        match status.state {
            State::InProgress => {}
            State::Completed => self.phase = Phase::Complete(Complete),
            State::RolledBack => self.phase = Phase::Revert(Revert),
        }
        true
    }

    /// Goes on with time and counts.
    pub(super) fn advance(&mut self, now: Instant, out: &mut Outbox) {
        let is_over = matches!(self.phase, Phase::Revert(_) | Phase::Complete(_));
        if !is_over && self.is_bad() {
            self.give_up(out);
        }
        let age = now.saturating_duration_since(self.began);
        let part = age.as_secs_f64() / self.order.lasts.as_secs_f64().max(0.001);
        match self.phase {
            Phase::Canary(canary) if part >= SHIFT_AT => {
                let note = Note::new(&note::ROLLOUT_SHIFTS).with("pool", &self.order.pool);
                let (target, others) = self.scores();
                let note = note.with("answers", target.rated).with("good", target.good);
                out.note(
                    note.with("others", others.rated)
                        .with("others_good", others.good),
                );
                self.phase = Phase::Shift(canary.shift(now));
            }
            Phase::Shift(shift) if self.share(now) >= 1.0 => {
                self.phase = Phase::Finish(shift.finish(now));
            }
            _ => {}
        }
        self.want(now, part);
    }

    /// The status that the rollout's phase asks for.
    fn want(&mut self, now: Instant, part: f64) {
        let state = match self.phase {
            Phase::Finish(finish) if self.is_finished(now, finish, part) => State::Completed,
            Phase::Revert(_) => State::RolledBack,
            Phase::Complete(_) => State::Completed,
            Phase::Canary(_) | Phase::Shift(_) | Phase::Finish(_) => State::InProgress,
        };
        if self.written == Some(state) {
            self.wants_since = None;
        } else if self.wants_since.is_none_or(|(wanted, _)| wanted != state) {
            self.wants_since = Some((state, now));
        }
    }

    fn is_finished(&self, now: Instant, finish: Finish, part: f64) -> bool {
        let open: u32 = self.others.values().map(|tally| tally.others_open).sum();
        let is_idle = open + self.own.others_open == 0;
        let is_settled = finish.began + SETTLE <= now;
        is_settled && (is_idle || part >= COMPLETE_AT)
    }

    /// The status to write now, if it is this entry's turn.
    pub(super) fn due(&mut self, now: Instant, rank: usize) -> Option<State> {
        let (state, since) = self.wants_since?;
        let turn = since + TURN * u32::try_from(rank).unwrap_or(u32::MAX);
        if turn > now || self.write_at.is_some_and(|at| at > now) {
            return None;
        }
        self.write_at = Some(now + WRITE_AGAIN);
        Some(state)
    }

    fn give_up(&mut self, out: &mut Outbox) {
        if matches!(self.phase, Phase::Revert(_) | Phase::Complete(_)) {
            return;
        }
        let (target, others) = self.scores();
        let note = Note::new(&note::ROLLOUT_BAD).with("pool", &self.order.pool);
        let note = note.with("target", &self.order.target);
        let note = note.with("answers", target.rated).with("good", target.good);
        out.note(
            note.with("others", others.rated)
                .with("others_good", others.good),
        );
        self.phase = self.phase.revert();
    }

    fn is_bad(&self) -> bool {
        let (target, others) = self.scores();
        worse(target, others, MARGIN) >= EVIDENCE
    }

    /// Counts of all entries: those of the new version, and those of the others.
    fn scores(&self) -> (Score, Score) {
        let (mut target, mut others) = (self.own.target, self.own.others);
        for tally in self.others.values() {
            target += tally.target;
            others += tally.others;
        }
        (target, others)
    }

    pub(super) fn fill(&self, now: Instant, frame: &mut Frame) {
        frame.rollouts.push(Progress {
            pool: self.order.pool.clone(),
            order: self.offset,
            age: now.saturating_duration_since(self.began),
            is_bad: matches!(self.phase, Phase::Revert(_)),
        });
        if self.wants_since.is_some() || !matches!(self.phase, Phase::Complete(_)) {
            frame.tallies.push(self.own.clone());
            frame.tallies.extend(self.others.values().cloned());
        }
    }
}
