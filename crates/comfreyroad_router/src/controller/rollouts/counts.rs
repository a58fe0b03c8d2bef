use std::time::Duration;

use comfreyroad::quality::{Score, worse};
use indexmap::IndexMap;

use crate::frame::Peer;
use crate::id::{EntryId, Incarnation, Offset, RouteId, VersionId};
use crate::note::Note;
use crate::rollout::{RolloutOrder, RouteScore, Tally};
use crate::upstream::RunningMedian;

/// Failures on a route and difference of good answers there from which a version is not cut over to.
const FEW_FAILURES: u32 = 2;
const DOUBT: f64 = 0.25;
/// Difference of good answers, as a part of all, that a new version may show.
const MARGIN: f64 = 0.03;
/// Time per event, as a factor of the other versions' median, from which an answer counts as slow. Versions that do several
/// times the work were seen to take twice the time per event, as much of a step does not depend on the work.
const SLOW: f64 = 1.25;
/// Difference of slow answers, as a part of all, that a new version may show.
const SLOW_MARGIN: f64 = 0.15;
/// Answers of the other versions before paces are compared.
const LEAST_PACES: u32 = 16;

/// What all entries have counted of a rollout's answers.
#[derive(Debug)]
pub(super) struct Counts {
    target: VersionId,
    own: Tally,
    others: IndexMap<(EntryId, Incarnation), Tally>,
    // The other versions' pace.
    usual: RunningMedian,
}

impl Counts {
    /// Nothing counted yet.
    pub(super) fn new(order: &RolloutOrder, offset: Offset, own: &Peer) -> Self {
        Self {
            target: order.target.clone(),
            own: Tally {
                pool: order.pool.clone(),
                order_offset: offset,
                entry: own.entry.clone(),
                incarnation: own.incarnation,
                target_sent: 0,
                others_sent: 0,
                routes: Vec::new(),
                target_speed: Score::default(),
                others_speed: Score::default(),
                revision: 0,
            },
            others: IndexMap::new(),
            usual: RunningMedian::default(),
        }
    }

    /// This entry's counts.
    pub(super) fn own(&self) -> &Tally {
        &self.own
    }

    /// Entries whose counts are known, this one among them.
    pub(super) fn entries(&self) -> usize {
        self.others.len() + 1
    }

    /// The counts of all entries, as relays are told them.
    pub(super) fn tallies(&self) -> impl Iterator<Item = &Tally> {
        self.others.values().chain([&self.own])
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
        if *version == self.target {
            score.target.count(is_good);
        } else {
            score.others.count(is_good);
        }
    }

    /// A request was sent to a version.
    pub(super) fn open(&mut self, version: &VersionId) {
        self.own.revision += 1;
        if *version == self.target {
            self.own.target_sent += 1;
        } else {
            self.own.others_sent += 1;
        }
    }

    /// Counts the pace of an answer. Loads are alike only while few requests try the new version.
    pub(super) fn count_pace(&mut self, version: &VersionId, pace: Duration) {
        let is_target = *version == self.target;
        let usual = self.usual.estimate(LEAST_PACES);
        if !is_target {
            self.usual.add(pace);
        }
        let Some(usual) = usual else { return };
        let is_good = pace <= usual.mul_f64(SLOW);
        self.own.revision += 1;
        if is_target {
            self.own.target_speed.count(is_good);
        } else {
            self.own.others_speed.count(is_good);
        }
    }

    /// Takes the counts of another entry.
    pub(super) fn merge(&mut self, tally: &Tally) {
        let is_own = tally.entry == self.own.entry && tally.incarnation == self.own.incarnation;
        if is_own || tally.order_offset != self.own.order_offset {
            return;
        }
        let key = (tally.entry.clone(), tally.incarnation);
        let known = self.others.get(&key);
        if known.is_none_or(|known| known.revision < tally.revision) {
            self.others.insert(key, tally.clone());
        }
    }

    /// Requests of all entries to the new version, and to the others.
    pub(super) fn sent(&self) -> (f64, f64) {
        let tallies = self.others.values().chain([&self.own]);
        let sum = |(target, others): (f64, f64), tally: &Tally| {
            (
                target + f64::from(tally.target_sent),
                others + f64::from(tally.others_sent),
            )
        };
        tallies.fold((0.0, 0.0), sum)
    }

    /// Logarithm of the evidence that the new version is worse: that it fails more on some route, or that it is slower.
    pub(super) fn evidence(&self) -> f64 {
        let routes = self.route_scores();
        // The more routes are looked at, the more evidence one of them must give.
        let tries = (routes.len().max(1) as f64).ln();
        let fails = routes
            .values()
            .map(|(target, others)| worse(*target, *others, MARGIN) - tries);
        let (target, others) = self.pace_scores();
        fails.fold(worse(target, others, SLOW_MARGIN), f64::max)
    }

    /// Whether few answers, too few to be sure, speak against the new version on some route. Before all requests move that
    /// is enough.
    pub(super) fn looks_worse(&self) -> bool {
        let rate = |score: Score| f64::from(score.good) / f64::from(score.rated.max(1));
        let routes = self.route_scores();
        routes.values().any(|(target, others)| {
            let failures = target.rated - target.good;
            failures >= FEW_FAILURES && rate(*target) < rate(*others) - DOUBT
        })
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
        let (mut target, mut others) = (self.own.target_speed, self.own.others_speed);
        for tally in self.others.values() {
            target += tally.target_speed;
            others += tally.others_speed;
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

    /// Adds the counts to a log event.
    pub(super) fn note(&self, note: Note) -> Note {
        let (target, others) = self.scores();
        let (target_paces, others_paces) = self.pace_scores();
        note.with("answers", target.rated)
            .with("good", target.good)
            .with("others", others.rated)
            .with("others_good", others.good)
            .with("paces", target_paces.rated)
            .with("fast", target_paces.good)
            .with("others_paces", others_paces.rated)
            .with("others_fast", others_paces.good)
    }
}
