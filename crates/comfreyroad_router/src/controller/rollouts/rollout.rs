mod decisions;

use std::sync::Arc;
use std::time::{Duration, Instant};

use comfreyroad::{clock, rendezvous};

use super::attempt::{Attempt, Group};
use super::counts::Counts;
use super::exposure::{Exposure, Usage};
use super::phase::{Canary, Completion, Phase, Rollback};
use super::pins::{Pin, Pins};
use super::ramp::{Ramp, Snapshot};
use super::rate::Rate;
use super::reason::Reason;
use super::verdict::Evidence;
use crate::frame::{Frame, Peer, Progress, SessionPin};
use crate::id::{Position, VersionId};
use crate::note::{self, Note};
use crate::outbox::Outbox;
use crate::record::position;
use crate::rollout::{Order, State, Status, Tally};

/// Time before the end of a rollout in which it is decided.
const DECISION_TIME: Duration = Duration::from_millis(2500);
/// Requests to a pool below which a rollout needs no proof: a bad version could not give as many bad answers either.
const MIN_REQUESTS_TO_PROVE: f64 = 30.0;

/// The rollout of a new version in one pool.
#[derive(Debug)]
pub(super) struct Rollout {
    pub(super) order: Order,
    /// Position of the order, which identifies the rollout.
    pub(super) offset: Position,
    started_at: Instant,
    phase: Phase,
    // The status that is to be written, and since when.
    pending_status: Option<(State, Instant)>,
    next_write_at: Option<Instant>,
    written_status: Option<State>,
    counts: Counts,
    rate: Rate,
    pins: Pins,
    ramp: Ramp,
    // Fraction of new requests that currently go to the new version.
    share: f64,
}

impl Rollout {
    pub(super) fn new(
        now: Instant,
        offset: Position,
        order: Order,
        exposure: Exposure,
        own: &Peer,
    ) -> Self {
        Self {
            counts: Counts::new(&order, offset, own),
            order,
            offset,
            started_at: now,
            phase: Phase::Canary(Canary),
            pending_status: None,
            next_write_at: None,
            written_status: None,
            pins: Pins::default(),
            ramp: Ramp::new(exposure),
            rate: Rate::default(),
            share: 0.0,
        }
    }

    /// The rendezvous key by which entries are ranked as writers of the status.
    pub(super) fn writer_key(&self) -> String {
        format!("{}/{}", self.order.pool, self.offset)
    }

    /// The status that was last read from the store.
    pub(super) fn written_status(&self) -> Option<State> {
        self.written_status
    }

    pub(super) fn is_completed(&self) -> bool {
        matches!(self.phase, Phase::Completion(_))
    }

    pub(super) fn is_rolled_back(&self) -> bool {
        matches!(self.phase, Phase::Rollback(_))
    }

    /// Whether all new requests go to the new version.
    pub(super) fn has_cut_over(&self) -> bool {
        matches!(self.phase, Phase::Cutover(_) | Phase::Completion(_))
    }

    /// Whether a request with this session or request key goes to the new version. During the canary phase, sessions in
    /// progress stay on their version.
    pub(super) fn routes_to_target(&self, now: Instant, key: &str) -> bool {
        let pinned = self
            .pins
            .is_on_target(now, key)
            .filter(|_| self.is_canary());
        pinned.unwrap_or_else(|| self.hash_fraction(key) < self.share)
    }

    /// Fraction of new requests that go to the new version in the current phase.
    fn phase_share(&self, snapshot: Snapshot) -> f64 {
        match self.phase {
            Phase::Canary(_) => self.ramp.share(snapshot),
            Phase::Cutover(_) | Phase::Completion(_) => 1.0,
            Phase::Rollback(_) => 0.0,
        }
    }

    fn snapshot(&self, now: Instant, evidence: Option<Evidence>) -> Snapshot {
        let (target, others) = self.counts.requests();
        Snapshot {
            usage: Usage {
                age: now.saturating_duration_since(self.started_at),
                duration: self.order.duration,
                target,
                others,
                recent_rate: self.rate.per_second(),
            },
            is_proved: evidence.is_some_and(|evidence| self.is_proved(evidence)),
        }
    }

    /// Whether the rollout is decided.
    fn is_over(&self) -> bool {
        matches!(self.phase, Phase::Rollback(_) | Phase::Completion(_))
    }

    /// Whether the new version may get all requests. An entry that follows the others leaves this to them, and a pool that is
    /// hardly used has no answers that could prove anything.
    fn is_proved(&self, evidence: Evidence) -> bool {
        let (target, others) = self.counts.requests();
        let is_idle = target + others < MIN_REQUESTS_TO_PROVE;
        is_idle || !self.ramp.has_quorum() || evidence.is_sound()
    }

    /// Whether the cutover or the completion is near: there is little time then for entries to learn of the cutover, and of answers
    /// that speak against it.
    pub(super) fn is_decision_near(&self, now: Instant) -> bool {
        let ends_at = clock::after(self.started_at, self.order.duration);
        !self.is_over() && ends_at <= now + DECISION_TIME
    }

    fn is_canary(&self) -> bool {
        matches!(self.phase, Phase::Canary(_))
    }

    /// What an attempt is counted for.
    fn group(&self, attempt: Attempt<'_>) -> Group {
        if *attempt.version != self.order.target {
            return Group::Others;
        }
        match self.phase {
            Phase::Cutover(cutover) if attempt.sent_at >= cutover.started_at => Group::Cutover,
            _ => Group::Canary,
        }
    }

    /// Counts a request that is sent.
    pub(super) fn count_request(&mut self, attempt: Attempt<'_>) {
        let group = self.group(attempt);
        self.counts.count_request(group);
        if group == Group::Cutover && !attempt.is_after_failure {
            self.counts.count_start(attempt.route);
        }
    }

    /// Counts a finished answer.
    pub(super) fn count_answer(&mut self, attempt: Attempt<'_>, is_success: bool) {
        if !attempt.is_after_failure {
            let group = self.group(attempt);
            self.counts.count_answer(group, attempt.route, is_success);
        }
    }

    /// Counts the service time of an answer. The others have hardly any load after the cutover, which says nothing about the new
    /// version.
    pub(super) fn count_service_time(&mut self, attempt: Attempt<'_>, service_time: Duration) {
        let group = self.group(attempt);
        if self.is_canary() || group == Group::Cutover {
            self.counts.count_service_time(group, service_time);
        }
    }

    /// Merges the counts of another entry.
    pub(super) fn merge_tally(&mut self, tally: &Tally) {
        self.counts.merge(tally);
    }

    /// Pins a session in progress to the version that serves it, during the canary phase and where the session could
    /// otherwise move.
    pub(super) fn pin_session(
        &mut self,
        now: Instant,
        name: &Arc<str>,
        version: &VersionId,
        expires_at: Instant,
    ) {
        let may_move = self.hash_fraction(name) < self.ramp.max_share();
        if may_move && self.is_canary() {
            let is_on_target = *version == self.order.target;
            self.pins.add(
                now,
                name,
                Pin {
                    is_on_target,
                    expires_at,
                },
            );
        }
    }

    /// Merges a session that another entry has pinned.
    pub(super) fn merge_pin(&mut self, now: Instant, pin: &SessionPin) {
        if pin.order_offset == self.offset {
            let pinned = Pin {
                is_on_target: pin.is_on_target,
                expires_at: clock::after(now, pin.expires_in),
            };
            self.pins.add(now, &pin.session, pinned);
        }
    }

    /// Hash of a key, scaled to the range from 0 to 1. Keys below the share of the new version go to it.
    fn hash_fraction(&self, key: &str) -> f64 {
        rendezvous::fraction(&self.order.target, key)
    }

    /// Merges the progress that another entry reports: the age of the rollout, its shares and whether it failed.
    pub(super) fn merge_progress(&mut self, now: Instant, progress: &Progress, out: &mut Outbox) {
        if progress.order_offset != self.offset {
            return;
        }
        if let Some(started_at) = now.checked_sub(progress.age) {
            self.started_at = self.started_at.min(started_at);
        }
        self.ramp.merge(progress);
        if progress.is_target_bad {
            self.roll_back(now, Reason::Peer, out);
        }
    }

    /// Takes a new position of the order.
    pub(super) fn identify(&mut self, position: Position) {
        self.offset = position;
        self.counts.identify(position);
    }

    /// Forgets the status that was last read from the store, which is then written again.
    pub(super) fn forget_written_status(&mut self) {
        self.written_status = None;
    }

    /// Applies a status that was read from the store. Returns whether it changed.
    pub(super) fn apply_status(&mut self, status: &Status) -> bool {
        // A store that is restored from a copy keeps the offsets of what is in the copy.
        let own_offset = position::offset(self.offset);
        let is_other = status.order_offset != 0 && status.order_offset != own_offset;
        if is_other
            || status.target != self.order.target
            || self.written_status == Some(status.state)
        {
            return false;
        }
        self.written_status = Some(status.state);
        match status.state {
            State::InProgress => {}
            State::Completed => self.phase = Phase::Completion(Completion),
            State::RolledBack => self.phase = Phase::Rollback(Rollback),
        }
        true
    }

    /// A log event with the counts by which the rollout is decided.
    fn describe(&self, kind: &'static note::Kind, now: Instant) -> Note {
        let age = now.saturating_duration_since(self.started_at);
        let note = Note::new(kind)
            .with("pool", &self.order.pool)
            .with("target", &self.order.target)
            .with("age_ms", age.as_millis());
        self.counts.annotate(note)
    }

    /// Adds the rollout's state to a frame. Relays exchange the counts of all entries; other entries report their own
    /// counts to relays and follow the progress that relays report.
    pub(super) fn fill_frame(
        &self,
        now: Instant,
        frame: &mut Frame,
        (is_sender_relay, is_receiver_relay): (bool, bool),
    ) {
        frame.rollouts.push(Progress {
            pool: self.order.pool.clone(),
            order_offset: self.offset,
            age: now.saturating_duration_since(self.started_at),
            is_target_bad: self.is_rolled_back(),
            trial_share: self.ramp.agreed_trial_share(),
            target_share: self.ramp.has_quorum().then_some(self.share),
        });
        if self.is_canary() {
            let pins = self
                .pins
                .iter(now)
                .map(|(name, pin, expires_in)| SessionPin {
                    pool: self.order.pool.clone(),
                    order_offset: self.offset,
                    session: name.clone(),
                    is_on_target: pin.is_on_target,
                    expires_in,
                });
            frame.session_pins.extend(pins);
        }
        let is_open = self.pending_status.is_some() || !self.is_completed();
        if is_open && is_sender_relay && is_receiver_relay {
            frame.tallies.extend(self.counts.tallies().cloned());
        } else if is_open && is_receiver_relay {
            frame.tallies.push(self.counts.own().clone());
        }
    }
}
