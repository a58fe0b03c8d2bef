use std::sync::Arc;
use std::time::{Duration, Instant};

use comfreyroad::rendezvous;

use super::counts::Counts;
use super::exposure::Exposure;
use super::keep::Keep;
use super::phase::{Canary, Complete, Cutover, Phase, Revert};
use crate::frame::{Frame, Kept, Peer, Progress};
use crate::id::{Offset, RouteId, VersionId};
use crate::note::{self, Note};
use crate::outbox::Outbox;
use crate::rollout::{Order, State, Status, Tally};

/// Requests after which a trial has shown what it can: three failures in ten show in a third of their answers.
const TRIAL_REQUESTS: f64 = 48.0;
/// Part of a rollout's time after which the trial is over in any case.
const TRIAL_LASTS: f64 = 0.55;
/// Time before a rollout's end at which its completion is written: two turns of entries, and the store's answer.
const COMPLETE_BEFORE: Duration = Duration::from_millis(1600);
/// Least time between the last request to the old version and its end, so that other entries have moved too.
const SETTLE: Duration = Duration::from_millis(600);
/// Logarithm of the evidence at which a version is bad: at most one false finding in twenty rollouts, which costs a rollout
/// and no request.
const EVIDENCE: f64 = 3.0;
/// The same, from which a trial goes on for more answers: as likely worse as not.
const SUSPICION: f64 = 0.0;
/// Time after an order in which entries tell each other of the sessions that keep the old version: three rounds of gossip.
const NOTICE: Duration = Duration::from_millis(1500);
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
    exposure: Exposure,
    phase: Phase,
    // When the phase came to want a status that is not written yet.
    wants_since: Option<(State, Instant)>,
    write_at: Option<Instant>,
    written: Option<State>,
    counts: Counts,
    keep: Keep,
}

impl Rollout {
    pub(super) fn new(
        now: Instant,
        offset: Offset,
        order: Order,
        exposure: Exposure,
        own: &Peer,
    ) -> Self {
        Self {
            counts: Counts::new(&order, offset, own),
            order,
            offset,
            began: now,
            exposure,
            phase: Phase::Canary(Canary),
            wants_since: None,
            write_at: None,
            written: None,
            keep: Keep::default(),
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
            Phase::Canary(_) if self.began + NOTICE > now => 0.0,
            Phase::Canary(_) if self.is_tried(now) => self.exposure.trickle(),
            Phase::Canary(_) => self.exposure.trial(),
            Phase::Cutover(_) | Phase::Complete(_) => 1.0,
            Phase::Revert(_) => 0.0,
        }
    }

    /// Whether the trial has shown what it can. One that looks bad goes on until it is known.
    fn is_tried(&self, now: Instant) -> bool {
        let (target, _) = self.counts.sent();
        let is_late = now >= self.began + self.order.lasts.mul_f64(TRIAL_LASTS);
        is_late || (target >= TRIAL_REQUESTS && self.counts.evidence() < SUSPICION)
    }

    fn may_cut_over(&self, now: Instant) -> bool {
        let age = now.saturating_duration_since(self.began);
        self.exposure
            .may_cut_over(age, self.order.lasts, self.counts.sent())
    }

    fn is_canary(&self) -> bool {
        matches!(self.phase, Phase::Canary(_))
    }

    /// An answer on a route has ended.
    pub(super) fn count(&mut self, version: &VersionId, route: &RouteId, is_good: bool) {
        self.counts.count(version, route, is_good);
    }

    /// A request was sent to a version.
    pub(super) fn open(&mut self, version: &VersionId) {
        self.counts.open(version);
    }

    /// Counts the pace of an answer. Loads are alike only while few requests try the new version.
    pub(super) fn count_pace(&mut self, version: &VersionId, pace: Duration) {
        if self.is_canary() {
            self.counts.count_pace(version, pace);
        }
    }

    /// Takes the counts of another entry.
    pub(super) fn merge(&mut self, tally: &Tally) {
        self.counts.merge(tally);
    }

    /// Whether a session keeps the old version for now.
    pub(super) fn is_kept(&self, now: Instant, session: &str) -> bool {
        self.is_canary() && self.keep.has(now, session)
    }

    /// A session has a request at a version: one that would move, but had the old version, keeps it.
    pub(super) fn keep(&mut self, session: &Arc<str>, version: &VersionId, ends: Instant) {
        let moves = *version != self.order.target && self.point(session) < self.exposure.trial();
        if moves && self.is_canary() {
            self.keep.add(session, ends);
        }
    }

    /// Another entry tells of a session that keeps the old version.
    pub(super) fn hear_kept(&mut self, now: Instant, kept: &Kept) {
        if kept.order == self.offset {
            self.keep.add(&kept.session, now + kept.left);
        }
    }

    /// Where a key stands between 0 and 1; it moves when the share of the new version passes it.
    pub(super) fn point(&self, key: &str) -> f64 {
        let hash = rendezvous::hash(&self.order.target, key);
        hash as f64 / u64::MAX as f64
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
        if !is_over && self.counts.evidence() >= EVIDENCE {
            self.give_up(out);
        }
        if let Phase::Canary(canary) = self.phase
            && self.may_cut_over(now)
        {
            if self.counts.looks_worse() {
                self.give_up(out);
            } else {
                self.note_scores(&note::ROLLOUT_SHIFTS, out);
                self.phase = Phase::Cutover(canary.cut_over(now));
            }
        }
        self.want(now);
    }

    /// The status that the rollout's phase asks for.
    fn want(&mut self, now: Instant) {
        let state = match self.phase {
            Phase::Cutover(cutover) if self.is_finished(now, cutover) => State::Completed,
            Phase::Revert(_) => State::RolledBack,
            Phase::Complete(_) => State::Completed,
            Phase::Canary(_) | Phase::Cutover(_) => State::InProgress,
        };
        if self.written == Some(state) {
            self.wants_since = None;
        } else if self.wants_since.is_none_or(|(wanted, _)| wanted != state) {
            self.wants_since = Some((state, now));
        }
    }

    /// Whether the old version may end. That waits for as long as it can, for what a greater load shows.
    fn is_finished(&self, now: Instant, cutover: Cutover) -> bool {
        let is_settled = cutover.began + SETTLE <= now;
        is_settled && self.began + self.order.lasts <= now + COMPLETE_BEFORE
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
        self.note_scores(&note::ROLLOUT_BAD, out);
        self.phase = self.phase.revert();
    }

    fn note_scores(&self, kind: &'static note::Kind, out: &mut Outbox) {
        let note = Note::new(kind).with("pool", &self.order.pool);
        out.note(self.counts.note(note.with("target", &self.order.target)));
    }

    pub(super) fn fill(&self, now: Instant, frame: &mut Frame) {
        frame.rollouts.push(Progress {
            pool: self.order.pool.clone(),
            order: self.offset,
            age: now.saturating_duration_since(self.began),
            is_bad: matches!(self.phase, Phase::Revert(_)),
        });
        if self.is_canary() {
            frame
                .kept
                .extend(self.keep.left(now).map(|(session, left)| Kept {
                    pool: self.order.pool.clone(),
                    order: self.offset,
                    session: session.clone(),
                    left,
                }));
        }
        if self.wants_since.is_some() || !self.is_completed() {
            frame.tallies.extend(self.counts.tallies().cloned());
        }
    }
}
