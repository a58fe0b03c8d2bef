use std::sync::Arc;
use std::time::{Duration, Instant};

use comfreyroad::quality::{Score, worse};
use comfreyroad::rendezvous;
use indexmap::IndexMap;

use super::phase::{Canary, Complete, Cutover, Phase, Revert};
use crate::frame::{Frame, Kept, Peer, Progress};
use crate::id::{EntryId, Incarnation, Offset, RouteId, VersionId};
use crate::note::{self, Note};
use crate::outbox::Outbox;
use crate::rollout::{Order, RouteScore, State, Status, Tally};
use crate::upstream::Median;

/// Part of the allowed exposure at which a version is tried first.
const TRIAL: f64 = 0.8;
/// Requests after which a trial has shown what it can: three failures in ten show in a third of their answers.
const TRIAL_REQUESTS: f64 = 48.0;
/// Part of a rollout's time after which the trial is over in any case.
const TRIAL_LASTS: f64 = 0.55;
/// Part of the allowed exposure between the trial and the cutover. Some versions are bad in ways that no answer shows, so
/// what is allowed must also hold for what moves before the rollout's time is over.
const TRICKLE: f64 = 0.1;
/// Failures on a route and difference of good answers there from which a version is not cut over to.
const FEW_FAILURES: u32 = 2;
const DOUBT: f64 = 0.25;
/// Part of the allowed exposure and slack that is used; the rest covers what other entries have sent since they last told.
const USED: f64 = 0.85;
/// Part of a rollout's time before which no session under way moves.
const FIRST_HALF: f64 = 0.52;
/// Time before a rollout's end at which its completion is written: two turns of entries, and the store's answer.
const COMPLETE_BEFORE: Duration = Duration::from_millis(1600);
/// Time before a rollout's end at which all requests move at the latest.
const CUT_OVER_BEFORE: Duration = Duration::from_millis(2200);
/// Least time between the last request to the old version and its end, so that other entries have moved too.
const SETTLE: Duration = Duration::from_millis(600);
/// Difference of good answers, as a part of all, that a new version may show.
const MARGIN: f64 = 0.03;
/// Logarithm of the evidence at which a version is bad: at most one false finding in twenty rollouts, which costs a rollout
/// and no request.
const EVIDENCE: f64 = 3.0;
/// The same, from which a trial goes on for more answers: as likely worse as not.
const SUSPICION: f64 = 0.0;
/// Time per event, as a factor of the other versions' median, from which an answer counts as slow. Versions that do several
/// times the work were seen to take twice the time per event, as much of a step does not depend on the work.
const SLOW: f64 = 1.25;
/// Difference of slow answers, as a part of all, that a new version may show.
const SLOW_MARGIN: f64 = 0.15;
/// Answers of the other versions before paces are compared.
const LEAST_PACES: u32 = 16;
/// Time after an order in which entries tell each other of the sessions that keep the old version: three rounds of gossip.
const NOTICE: Duration = Duration::from_millis(1500);
/// Sessions that keep the old version in one frame at most.
const MAX_KEPT: usize = 256;
/// Time that each entry leaves to the ones before it to write a status.
const TURN: Duration = Duration::from_millis(700);
/// Time between two tries of one entry to write a status.
const WRITE_AGAIN: Duration = Duration::from_millis(600);

/// What a version under trial may get of a pool's requests in a rollout's time.
#[derive(Clone, Copy, Debug)]
pub(super) struct Exposure {
    /// As a part of all.
    pub(super) share: f64,
    /// Beyond that.
    pub(super) slack: f64,
}

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
    own: Tally,
    others: IndexMap<(EntryId, Incarnation), Tally>,
    // The other versions' pace.
    usual: Median,
    // Sessions that keep the old version, and when they are over.
    kept: IndexMap<Arc<str>, Instant>,
}

impl Rollout {
    pub(super) fn new(
        now: Instant,
        offset: Offset,
        order: Order,
        exposure: Exposure,
        own: &Peer,
    ) -> Self {
        let own = Tally {
            pool: order.pool.clone(),
            order: offset,
            entry: own.entry.clone(),
            incarnation: own.incarnation,
            target_sent: 0,
            others_sent: 0,
            routes: Vec::new(),
            target_paces: Score::default(),
            others_paces: Score::default(),
            revision: 0,
        };
        Self {
            order,
            offset,
            began: now,
            exposure,
            phase: Phase::Canary(Canary),
            wants_since: None,
            write_at: None,
            written: None,
            own,
            others: IndexMap::new(),
            usual: Median::default(),
            kept: IndexMap::new(),
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
            Phase::Canary(_) if self.is_tried(now) => self.exposure.share * TRICKLE,
            Phase::Canary(_) => self.trial(),
            Phase::Cutover(_) | Phase::Complete(_) => 1.0,
            Phase::Revert(_) => 0.0,
        }
    }

    /// The greatest part of new requests that tries the new version.
    fn trial(&self) -> f64 {
        self.exposure.share * TRIAL
    }

    /// Whether the trial has shown what it can. One that looks bad goes on until it is known.
    fn is_tried(&self, now: Instant) -> bool {
        let (target, _) = self.sent();
        let is_late = now >= self.began + self.order.lasts.mul_f64(TRIAL_LASTS);
        is_late || (target >= TRIAL_REQUESTS && self.evidence() < SUSPICION)
    }

    /// Whether all requests may move: also if the new version is bad, it then gets no more than is allowed in the
    /// rollout's time, as far as requests come as they have come so far.
    fn may_cut_over(&self, now: Instant) -> bool {
        let age = now.saturating_duration_since(self.began);
        let left = self.order.lasts.saturating_sub(age);
        if age < self.order.lasts.mul_f64(FIRST_HALF) {
            return false;
        }
        if left <= CUT_OVER_BEFORE {
            return true;
        }
        let (target, others) = self.sent();
        let all = target + others;
        let coming = all / age.as_secs_f64().max(1.0) * left.as_secs_f64();
        let allowed = self.exposure.share * (all + coming) + self.exposure.slack;
        target + coming <= allowed * USED
    }

    /// Requests of all entries to the new version, and to the others.
    fn sent(&self) -> (f64, f64) {
        let tallies = self.others.values().chain([&self.own]);
        let sum = |(target, others): (f64, f64), tally: &Tally| {
            (
                target + f64::from(tally.target_sent),
                others + f64::from(tally.others_sent),
            )
        };
        tallies.fold((0.0, 0.0), sum)
    }

    /// An answer on a route has ended.
    pub(super) fn count(&mut self, version: &VersionId, route: &RouteId, is_good: bool) {
        self.own.revision += 1;
        let routes = &mut self.own.routes;
        let index = routes.iter().position(|it| it.route == *route);
        let index = index.unwrap_or_else(|| {
            routes.push(RouteScore {
                route: route.clone(),
                target: Score::default(),
                others: Score::default(),
            });
            routes.len() - 1
        });
        let score = &mut routes[index];
        if *version == self.order.target {
            score.target.count(is_good);
        } else {
            score.others.count(is_good);
        }
    }

    /// A request was sent to a version.
    pub(super) fn open(&mut self, version: &VersionId) {
        self.own.revision += 1;
        if *version == self.order.target {
            self.own.target_sent += 1;
        } else {
            self.own.others_sent += 1;
        }
    }

    /// Counts the pace of an answer. Loads are alike only while few requests try the new version.
    pub(super) fn count_pace(&mut self, version: &VersionId, pace: Duration) {
        if !matches!(self.phase, Phase::Canary(_)) {
            return;
        }
        let is_target = *version == self.order.target;
        let usual = self.usual.after(LEAST_PACES);
        if !is_target {
            self.usual.add(pace);
        }
        let Some(usual) = usual else { return };
        let is_good = pace <= usual.mul_f64(SLOW);
        self.own.revision += 1;
        if is_target {
            self.own.target_paces.count(is_good);
        } else {
            self.own.others_paces.count(is_good);
        }
    }

    /// Where a key stands between 0 and 1; it moves when the share of the new version passes it.
    pub(super) fn point(&self, key: &str) -> f64 {
        let hash = rendezvous::hash(&self.order.target, key);
        hash as f64 / u64::MAX as f64
    }

    /// Whether a session keeps the old version for now.
    pub(super) fn is_kept(&self, now: Instant, session: &str) -> bool {
        let is_canary = matches!(self.phase, Phase::Canary(_));
        is_canary && self.kept.get(session).is_some_and(|ends| *ends > now)
    }

    /// A session has a request at a version: one that would move, but had the old version, keeps it.
    pub(super) fn keep(&mut self, session: &Arc<str>, version: &VersionId, ends: Instant) {
        let moves = *version != self.order.target && self.point(session) < self.trial();
        if moves && matches!(self.phase, Phase::Canary(_)) {
            let known = self.kept.entry(session.clone()).or_insert(ends);
            *known = ends.max(*known);
        }
    }

    /// Another entry tells of a session that keeps the old version.
    pub(super) fn hear_kept(&mut self, now: Instant, kept: &Kept) {
        if kept.order == self.offset {
            let ends = now + kept.left;
            let known = self.kept.entry(kept.session.clone()).or_insert(ends);
            *known = ends.max(*known);
        }
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
        if !is_over && self.evidence() >= EVIDENCE {
            self.give_up(out);
        }
        if let Phase::Canary(canary) = self.phase
            && self.may_cut_over(now)
        {
            if self.looks_worse() {
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
        let (target, others) = self.scores();
        let (target_paces, others_paces) = self.pace_scores();
        out.note(
            Note::new(kind)
                .with("pool", &self.order.pool)
                .with("target", &self.order.target)
                .with("answers", target.rated)
                .with("good", target.good)
                .with("others", others.rated)
                .with("others_good", others.good)
                .with("paces", target_paces.rated)
                .with("fast", target_paces.good)
                .with("others_paces", others_paces.rated)
                .with("others_fast", others_paces.good),
        );
    }

    /// Whether few answers, too few to be sure, speak against the new version on some route. Before all requests move that
    /// is enough.
    fn looks_worse(&self) -> bool {
        let rate = |score: Score| f64::from(score.good) / f64::from(score.rated.max(1));
        let routes = self.route_scores();
        routes.values().any(|(target, others)| {
            let failures = target.rated - target.good;
            failures >= FEW_FAILURES && rate(*target) < rate(*others) - DOUBT
        })
    }

    /// Logarithm of the evidence that the new version is worse: that it fails more on some route, or that it is slower.
    fn evidence(&self) -> f64 {
        let routes = self.route_scores();
        // The more routes are looked at, the more evidence one of them must give.
        let tries = (routes.len().max(1) as f64).ln();
        let fails = routes
            .values()
            .map(|(target, others)| worse(*target, *others, MARGIN) - tries);
        let (target, others) = self.pace_scores();
        fails.fold(worse(target, others, SLOW_MARGIN), f64::max)
    }

    /// Answers of the new version and of the others, of all entries, by route.
    fn route_scores(&self) -> IndexMap<RouteId, (Score, Score)> {
        let mut routes: IndexMap<RouteId, (Score, Score)> = IndexMap::new();
        for tally in self.others.values().chain([&self.own]) {
            for score in &tally.routes {
                let (target, others) = routes.entry(score.route.clone()).or_default();
                *target += score.target;
                *others += score.others;
            }
        }
        routes
    }

    /// Answers that were fast enough, of all entries.
    fn pace_scores(&self) -> (Score, Score) {
        let (mut target, mut others) = (self.own.target_paces, self.own.others_paces);
        for tally in self.others.values() {
            target += tally.target_paces;
            others += tally.others_paces;
        }
        (target, others)
    }

    /// Counts of all entries: those of the new version, and those of the others.
    fn scores(&self) -> (Score, Score) {
        let (mut target, mut others) = (Score::default(), Score::default());
        for (of_target, of_others) in self.route_scores().values() {
            target += *of_target;
            others += *of_others;
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
        let kept = self.kept.iter().filter(|(_, ends)| **ends > now);
        let is_canary = matches!(self.phase, Phase::Canary(_));
        let kept = kept.take(if is_canary { MAX_KEPT } else { 0 });
        frame.kept.extend(kept.map(|(session, ends)| Kept {
            pool: self.order.pool.clone(),
            order: self.offset,
            session: session.clone(),
            left: ends.saturating_duration_since(now),
        }));
        if self.wants_since.is_some() || !matches!(self.phase, Phase::Complete(_)) {
            frame.tallies.push(self.own.clone());
            frame.tallies.extend(self.others.values().cloned());
        }
    }
}
