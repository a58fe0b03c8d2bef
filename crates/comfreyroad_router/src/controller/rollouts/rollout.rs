use std::sync::Arc;
use std::time::{Duration, Instant};

use comfreyroad::rendezvous;

use super::counts::Counts;
use super::exposure::Exposure;
use super::keep::{Keep, Session};
use super::phase::{Canary, Complete, Cutover, Phase, Revert};
use super::trial::{Moment, Trial};
use crate::controller::members::Fleet;
use crate::frame::{Frame, Peer, RolloutProgress, SessionPin};
use crate::id::{Offset, RouteId, VersionId};
use crate::note::{self, Note};
use crate::outbox::Outbox;
use crate::rollout::{RolloutOrder, RolloutState, RolloutStatus, Tally};

/// Time before a rollout's end at which its completion is written: two turns of entries, and the store's answer.
const COMPLETE_BEFORE: Duration = Duration::from_millis(1600);
/// Least time between the last request to the old version and its end, so that other entries have moved too.
const SETTLE: Duration = Duration::from_millis(600);
/// Logarithm of the evidence at which a version is bad: at most one false finding in twenty rollouts, which costs a rollout
/// and no request.
const EVIDENCE: f64 = 3.0;
/// Time that each entry leaves to the ones before it to write a status.
const TURN: Duration = Duration::from_millis(700);
/// Time between two tries of one entry to write a status.
const WRITE_AGAIN: Duration = Duration::from_millis(600);

/// One rollout.
#[derive(Debug)]
pub(super) struct Rollout {
    pub(super) order: RolloutOrder,
    /// Place of the order.
    pub(super) offset: Offset,
    began: Instant,
    phase: Phase,
    // When the phase came to want a status that is not written yet.
    wants_since: Option<(RolloutState, Instant)>,
    write_at: Option<Instant>,
    written: Option<RolloutState>,
    counts: Counts,
    keep: Keep,
    trial: Trial,
    // Part of new requests that go to the new version now.
    share: f64,
}

impl Rollout {
    pub(super) fn new(
        now: Instant,
        offset: Offset,
        order: RolloutOrder,
        exposure: Exposure,
        own: &Peer,
    ) -> Self {
        Self {
            counts: Counts::new(&order, offset, own),
            order,
            offset,
            began: now,
            phase: Phase::Canary(Canary),
            wants_since: None,
            write_at: None,
            written: None,
            keep: Keep::default(),
            trial: Trial::new(exposure),
            share: 0.0,
        }
    }

    /// What its entries are ordered by.
    pub(super) fn key(&self) -> String {
        format!("{}/{}", self.order.pool, self.offset)
    }

    /// The status that is known to be written.
    pub(super) fn written(&self) -> Option<RolloutState> {
        self.written
    }

    pub(super) fn is_completed(&self) -> bool {
        matches!(self.phase, Phase::Complete(_))
    }

    pub(super) fn is_reverted(&self) -> bool {
        matches!(self.phase, Phase::Revert(_))
    }

    /// Whether every request moves to the new version.
    pub(super) fn has_shifted(&self) -> bool {
        matches!(self.phase, Phase::Cutover(_) | Phase::Complete(_))
    }

    /// Whether a request with a key goes to the new version. A session under way stays where it is while few move.
    pub(super) fn moves(&self, now: Instant, key: &str) -> bool {
        let kept = self.keep.has_moved(now, key).filter(|_| self.is_canary());
        kept.unwrap_or_else(|| self.point(key) < self.share)
    }

    /// Part of new requests that go to the new version in this phase.
    fn wanted_share(&self, moment: Moment) -> f64 {
        match self.phase {
            Phase::Canary(_) => self.trial.share(moment),
            Phase::Cutover(_) | Phase::Complete(_) => 1.0,
            Phase::Revert(_) => 0.0,
        }
    }

    /// Where the rollout stands.
    fn moment(&self, now: Instant) -> Moment {
        let is_over = matches!(self.phase, Phase::Revert(_) | Phase::Complete(_));
        Moment {
            age: now.saturating_duration_since(self.began),
            lasts: self.order.duration,
            sent: self.counts.sent(),
            evidence: if is_over { 0.0 } else { self.counts.evidence() },
        }
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

    /// A session has a request at a version, and stays there while few move.
    pub(super) fn keep(
        &mut self,
        now: Instant,
        name: &Arc<str>,
        version: &VersionId,
        ends: Instant,
    ) {
        let may_move = self.point(name) < self.trial.widest();
        if may_move && self.is_canary() {
            let has_moved = *version == self.order.target;
            self.keep.add(now, name, Session { has_moved, ends });
        }
    }

    /// Another entry tells of a session that keeps its version.
    pub(super) fn hear_kept(&mut self, now: Instant, kept: &SessionPin) {
        if kept.order_offset == self.offset {
            let session = Session {
                has_moved: kept.is_on_target,
                ends: now + kept.expires_in,
            };
            self.keep.add(now, &kept.session, session);
        }
    }

    /// Where a key stands between 0 and 1; it moves when the share of the new version passes it.
    fn point(&self, key: &str) -> f64 {
        let hash = rendezvous::hash(&self.order.target, key);
        hash as f64 / u64::MAX as f64
    }

    /// Takes what another entry knows of the rollout's age and end.
    pub(super) fn hear(&mut self, now: Instant, progress: &RolloutProgress, out: &mut Outbox) {
        if progress.order_offset != self.offset {
            return;
        }
        if let Some(began) = now.checked_sub(progress.age) {
            self.began = self.began.min(began);
        }
        self.trial.hear(progress);
        if progress.is_target_bad {
            self.give_up(out);
        }
    }

    /// Takes a status that was read. Returns whether it is news.
    pub(super) fn read(&mut self, status: &RolloutStatus) -> bool {
        let is_other = status.order_offset != 0 && status.order_offset != self.offset;
        if is_other || status.target != self.order.target || self.written == Some(status.state) {
            return false;
        }
        self.written = Some(status.state);
        match status.state {
            RolloutState::InProgress => {}
            RolloutState::Completed => self.phase = Phase::Complete(Complete),
            RolloutState::RolledBack => self.phase = Phase::Revert(Revert),
        }
        true
    }

    /// Goes on with time and counts.
    pub(super) fn advance(&mut self, now: Instant, fleet: &Fleet, out: &mut Outbox) {
        let moment = self.moment(now);
        if moment.evidence >= EVIDENCE {
            self.give_up(out);
        }
        let (counted, live) = (self.counts.entries(), fleet.entries.len());
        self.trial.advance(moment, counted, live);
        if let Phase::Canary(canary) = self.phase
            && self.trial.may_cut_over(moment)
        {
            if self.counts.looks_worse() {
                self.give_up(out);
            } else {
                self.note_scores(&note::ROLLOUT_SHIFTS, out);
                self.phase = Phase::Cutover(canary.cut_over(now));
            }
        }
        self.share = self.wanted_share(moment);
        self.want(now);
    }

    /// The status that the rollout's phase asks for.
    fn want(&mut self, now: Instant) {
        let state = match self.phase {
            Phase::Cutover(cutover) if self.is_finished(now, cutover) => RolloutState::Completed,
            Phase::Revert(_) => RolloutState::RolledBack,
            Phase::Complete(_) => RolloutState::Completed,
            Phase::Canary(_) | Phase::Cutover(_) => RolloutState::InProgress,
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
        is_settled && self.began + self.order.duration <= now + COMPLETE_BEFORE
    }

    /// The status to write now, if it is this entry's turn.
    pub(super) fn due(&mut self, now: Instant, rank: usize) -> Option<RolloutState> {
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

    /// Adds to a frame what the receiver may lack: of the counts, a relay lacks all, and others decide as relays tell them.
    pub(super) fn fill(&self, now: Instant, frame: &mut Frame, (from, to): (bool, bool)) {
        frame.rollouts.push(RolloutProgress {
            pool: self.order.pool.clone(),
            order_offset: self.offset,
            age: now.saturating_duration_since(self.began),
            is_target_bad: self.is_reverted(),
            trial_share: self.trial.planned(),
            target_share: self.trial.is_informed().then_some(self.share),
        });
        if self.is_canary() {
            let kept = self.keep.iter(now).map(|(name, session, left)| SessionPin {
                pool: self.order.pool.clone(),
                order_offset: self.offset,
                session: name.clone(),
                is_on_target: session.has_moved,
                expires_in: left,
            });
            frame.session_pins.extend(kept);
        }
        let is_open = self.wants_since.is_some() || !self.is_completed();
        if is_open && from && to {
            frame.tallies.extend(self.counts.tallies().cloned());
        } else if is_open && to {
            frame.tallies.push(self.counts.own().clone());
        }
    }
}
