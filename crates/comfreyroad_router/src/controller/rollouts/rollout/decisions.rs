//! Decisions on a rollout: the cutover, the completion and the rollback, and when their status is written.
//!
//! Answers the load pattern in which a version is bad on few requests, on one route or under load only: each step needs evidence
//! that the version is sound, and room in the exposure limit.

use std::time::{Duration, Instant};

use super::Rollout;
use crate::controller::members::Fleet;
use crate::controller::rollouts::exposure::Exposure;
use crate::controller::rollouts::phase::{Canary, Cutover, Phase};
use crate::controller::rollouts::ramp::Snapshot;
use crate::controller::rollouts::reason::Reason;
use crate::controller::rollouts::verdict::Evidence;
use crate::note;
use crate::outbox::Outbox;
use crate::rollout::State;

/// Time before the end of a rollout at which its completion is written: a writer timeout, and the store's answer.
const COMPLETION_LEAD: Duration = Duration::from_millis(800);
/// Minimum time between the cutover and the completion, so that the other entries have cut over too.
const MIN_CUTOVER_DURATION: Duration = Duration::from_millis(600);
/// Time for which each entry waits for each entry that ranks before it to write a status.
const WRITER_TIMEOUT: Duration = Duration::from_millis(700);
/// Minimum time between two attempts of one entry to write a status.
const WRITE_RETRY_INTERVAL: Duration = Duration::from_millis(600);

impl Rollout {
    /// Advances the rollout by the elapsed time and the current counts.
    pub(in crate::controller::rollouts) fn advance(
        &mut self,
        now: Instant,
        fleet: &Fleet,
        out: &mut Outbox,
    ) {
        let (target, others) = self.counts.requests();
        self.rate.add(now, target + others);
        // The evidence matters only until the rollout is decided.
        let evidence = (!self.is_over()).then(|| self.counts.evidence());
        let snapshot = self.snapshot(now, evidence);
        let (counted, live) = (self.counts.reporting_entries(), fleet.entries.len());
        self.ramp.advance(snapshot, counted, live);
        if let Some(evidence) = evidence {
            self.decide(now, evidence, snapshot, out);
        }
        self.share = self.phase_share(snapshot);
        self.update_pending_status(now);
    }

    /// Rolls back or enters the next phase if the evidence and the exposure limit demand or admit it. An entry without the counts of
    /// a quorum follows the others: its own answers are too few, and it would decide for all entries.
    fn decide(&mut self, now: Instant, evidence: Evidence, snapshot: Snapshot, out: &mut Outbox) {
        let has_quorum = self.ramp.has_quorum();
        if evidence.is_bad() && has_quorum {
            self.roll_back(now, Reason::Evidence, out);
        }
        match self.phase {
            Phase::Cutover(_) if !has_quorum => {}
            Phase::Canary(canary) => self.decide_cutover(now, canary, snapshot, out),
            Phase::Cutover(cutover) => self.decide_completion(now, cutover, snapshot, out),
            Phase::Rollback(_) | Phase::Completion(_) => {}
        }
    }

    /// Moves all requests to the new version as soon as it is proved and the exposure limit admits it, or rolls back.
    fn decide_cutover(
        &mut self,
        now: Instant,
        canary: Canary,
        snapshot: Snapshot,
        out: &mut Outbox,
    ) {
        let is_too_late = Exposure::is_too_late_to_cut_over(snapshot.usage);
        // Entries whose counts differ a little decide at different moments, but must not decide differently.
        let may_cut_over =
            self.ramp.may_cut_over(snapshot) || (is_too_late && self.ramp.have_others_cut_over());
        if may_cut_over && snapshot.is_proved {
            out.note(self.describe(&note::ROLLOUT_CUT_OVER, now));
            self.phase = Phase::Cutover(canary.cut_over(now));
        } else if is_too_late && self.ramp.has_quorum() {
            let reason = if may_cut_over {
                Reason::Unproved
            } else {
                Reason::Exposure
            };
            self.roll_back(now, reason, out);
        }
    }

    /// Rolls back if the answers since the cutover show that the new version does not bear the whole load. By the time of the
    /// completion it is enough that they are more likely those of a bad version.
    fn decide_completion(
        &mut self,
        now: Instant,
        cutover: Cutover,
        snapshot: Snapshot,
        out: &mut Outbox,
    ) {
        let evidence = self.counts.evidence_after_cutover();
        if evidence.is_bad() {
            self.roll_back(now, Reason::Evidence, out);
        } else if self.is_completion_pending() {
            // The status is being written.
        } else if self.ramp.is_used_up(snapshot) {
            self.roll_back(now, Reason::Exposure, out);
        } else if !self.may_complete(now, cutover) {
            // More answers arrive.
        } else if evidence.is_suspicious() {
            self.roll_back(now, Reason::Unproved, out);
        } else {
            out.note(self.describe(&note::ROLLOUT_PROVED, now));
        }
    }

    /// Marks the status of the current phase as pending unless it is written already.
    fn update_pending_status(&mut self, now: Instant) {
        let state = match self.phase {
            Phase::Cutover(cutover) if self.may_complete(now, cutover) => State::Completed,
            Phase::Rollback(_) => State::RolledBack,
            Phase::Completion(_) => State::Completed,
            Phase::Canary(_) | Phase::Cutover(_) => State::InProgress,
        };
        if self.written_status == Some(state) {
            self.pending_status = None;
        } else if self
            .pending_status
            .is_none_or(|(pending, _)| pending != state)
        {
            self.pending_status = Some((state, now));
        }
    }

    fn is_completion_pending(&self) -> bool {
        let state = self.pending_status.map(|(state, _)| state);
        state == Some(State::Completed)
    }

    /// Whether the rollout may complete. It completes as late as possible, as faults of the new version may show only
    /// under full load.
    fn may_complete(&self, now: Instant, cutover: Cutover) -> bool {
        let is_settled = cutover.started_at + MIN_CUTOVER_DURATION <= now;
        is_settled && self.started_at + self.order.duration <= now + COMPLETION_LEAD
    }

    /// The status to write now, if this entry's turn has come. `rank` is its rank among the writers.
    pub(in crate::controller::rollouts) fn due_status(
        &mut self,
        now: Instant,
        rank: usize,
    ) -> Option<State> {
        let (state, since) = self.pending_status?;
        let turn = since + WRITER_TIMEOUT * u32::try_from(rank).unwrap_or(u32::MAX);
        if turn > now || self.next_write_at.is_some_and(|at| at > now) {
            return None;
        }
        self.next_write_at = Some(now + WRITE_RETRY_INTERVAL);
        Some(state)
    }

    pub(super) fn roll_back(&mut self, now: Instant, reason: Reason, out: &mut Outbox) {
        if self.is_over() {
            return;
        }
        let note = self.describe(&note::ROLLOUT_FAILED, now);
        out.note(
            note.with("why", reason.name())
                .with("phase", self.phase.name()),
        );
        self.phase = self.phase.roll_back();
    }
}
