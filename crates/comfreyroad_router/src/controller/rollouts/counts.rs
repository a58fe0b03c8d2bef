use std::time::Duration;

use comfreyroad::quality::Score;
use indexmap::IndexMap;

use super::attempt::Group;
use super::verdict::Evidence;
use crate::frame::Peer;
use crate::id::{EntryId, Incarnation, Position, RouteId};
use crate::note::Note;
use crate::rollout::evidence::{self, Comparison};
use crate::rollout::{Histogram, Order, RouteScore, Tally};

/// Requests and answers of a rollout as counted by all entries: a grow-only counter per entry, merged by gossip.
#[derive(Debug)]
pub(super) struct Counts {
    own: Tally,
    peers: IndexMap<(EntryId, Incarnation), Tally>,
}

impl Counts {
    /// Empty counts for a rollout.
    pub(super) fn new(order: &Order, offset: Position, own: &Peer) -> Self {
        Self {
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
                target_times: Histogram::default(),
                others_times: Histogram::default(),
                times_after_cutover: Histogram::default(),
                revision: 0,
            },
            peers: IndexMap::new(),
        }
    }

    /// Takes a new position of the order.
    pub(super) fn identify(&mut self, position: Position) {
        for tally in self.peers.values_mut().chain([&mut self.own]) {
            tally.order_offset = position;
        }
    }

    /// This entry's counts.
    pub(super) fn own(&self) -> &Tally {
        &self.own
    }

    /// Number of entries whose counts are known, including this one.
    pub(super) fn reporting_entries(&self) -> usize {
        self.peers.len() + 1
    }

    /// The counts of each entry, as exchanged between relays.
    pub(super) fn tallies(&self) -> impl Iterator<Item = &Tally> {
        self.peers.values().chain([&self.own])
    }

    /// Counts a request that is sent.
    pub(super) fn count_request(&mut self, group: Group) {
        self.own.revision += 1;
        match group {
            Group::Canary | Group::Cutover => self.own.target_sent += 1,
            Group::Others => self.own.others_sent += 1,
        }
    }

    /// Counts an answer that starts after the cutover. It counts as good until it fails: there is no time to wait for the ends of
    /// long answers.
    pub(super) fn count_start(&mut self, route: &RouteId) {
        self.route_score(route).after_cutover.count(true);
    }

    /// Counts a finished answer on a route.
    pub(super) fn count_answer(&mut self, group: Group, route: &RouteId, is_success: bool) {
        self.own.revision += 1;
        let score = self.route_score(route);
        match group {
            Group::Canary => score.target.count(is_success),
            Group::Cutover => {
                let good = &mut score.after_cutover.good;
                *good = good.saturating_sub(u32::from(!is_success));
            }
            Group::Others => score.others.count(is_success),
        }
    }

    /// Counts the service time of an answer.
    pub(super) fn count_service_time(&mut self, group: Group, service_time: Duration) {
        self.own.revision += 1;
        let times = match group {
            Group::Canary => &mut self.own.target_times,
            Group::Cutover => &mut self.own.times_after_cutover,
            Group::Others => &mut self.own.others_times,
        };
        times.add(service_time);
    }

    fn route_score(&mut self, route: &RouteId) -> &mut RouteScore {
        let routes = &mut self.own.routes;
        let index = routes.iter().position(|it| it.route == *route);
        let index = index.unwrap_or_else(|| {
            routes.push(RouteScore {
                route: route.clone(),
                target: Score::default(),
                others: Score::default(),
                after_cutover: Score::default(),
            });
            routes.len() - 1
        });
        &mut routes[index]
    }

    /// Merges the counts of another entry; the latest revision wins.
    pub(super) fn merge(&mut self, tally: &Tally) {
        let is_own = tally.entry == self.own.entry && tally.incarnation == self.own.incarnation;
        if is_own || tally.order_offset != self.own.order_offset {
            return;
        }
        let key = (tally.entry.clone(), tally.incarnation);
        let known = self.peers.get(&key);
        if known.is_none_or(|known| known.revision < tally.revision) {
            self.peers.insert(key, tally.clone());
        }
    }

    /// Requests that all entries have sent to the new version, and to the others.
    pub(super) fn requests(&self) -> (f64, f64) {
        let sum = |(target, others): (f64, f64), tally: &Tally| {
            (
                target + f64::from(tally.target_sent),
                others + f64::from(tally.others_sent),
            )
        };
        self.tallies().fold((0.0, 0.0), sum)
    }

    /// Evidence by the answers before the cutover.
    pub(super) fn evidence(&self) -> Evidence {
        let routes = self.route_scores(|score| score.target);
        self.compare(&routes, |tally| &tally.target_times)
    }

    /// Evidence by the answers to requests after the cutover, when the new version has the load that the others had before.
    pub(super) fn evidence_after_cutover(&self) -> Evidence {
        let routes = self.route_scores(|score| score.after_cutover);
        self.compare(&routes, |tally| &tally.times_after_cutover)
    }

    fn compare(
        &self,
        routes: &IndexMap<RouteId, Comparison>,
        times: impl Fn(&Tally) -> &Histogram,
    ) -> Evidence {
        let routes: Vec<Comparison> = routes.values().copied().collect();
        let others_times = self.sum_times(|tally| &tally.others_times);
        Evidence {
            failures: evidence::of_failures(&routes),
            times: evidence::of_slowness(&self.sum_times(times), &others_times),
        }
    }

    fn sum_times(&self, times: impl Fn(&Tally) -> &Histogram) -> Histogram {
        let mut sum = Histogram::default();
        for tally in self.tallies() {
            sum.merge(times(tally));
        }
        sum
    }

    /// Scores of the new version, of the given kind, and of the others by route, summed over all entries.
    fn route_scores(&self, target: impl Fn(&RouteScore) -> Score) -> IndexMap<RouteId, Comparison> {
        let mut routes: IndexMap<RouteId, Comparison> = IndexMap::new();
        for score in self.tallies().flat_map(|tally| &tally.routes) {
            let sum = routes.entry(score.route.clone()).or_default();
            sum.target += target(score);
            sum.others += score.others;
        }
        routes
    }

    /// Adds the scores to a log event.
    pub(super) fn annotate(&self, note: Note) -> Note {
        let routes = self.route_scores(|score| score.target);
        let (target, others) = total(&routes);
        let (after_cutover, _) = total(&self.route_scores(|score| score.after_cutover));
        let (target_sent, others_sent) = self.requests();
        let (evidence, loaded) = (self.evidence(), self.evidence_after_cutover());
        note.with("sent", target_sent)
            .with("others_sent", others_sent)
            .with("routes", describe_routes(&routes))
            .with("answers", target.rated)
            .with("good", target.good)
            .with("others", others.rated)
            .with("others_good", others.good)
            .with("after_cutover", after_cutover.rated)
            .with("after_cutover_good", after_cutover.good)
            .with("failures_evidence", describe(evidence.failures))
            .with(
                "times_evidence",
                describe(evidence.times.unwrap_or_default()),
            )
            .with("after_cutover_failures_evidence", describe(loaded.failures))
            .with(
                "after_cutover_times_evidence",
                describe(loaded.times.unwrap_or_default()),
            )
    }
}

/// The scores of all routes together.
fn total(routes: &IndexMap<RouteId, Comparison>) -> (Score, Score) {
    let (mut target, mut others) = (Score::default(), Score::default());
    for route in routes.values() {
        target += route.target;
        others += route.others;
    }
    (target, others)
}

/// Good and rated answers of the new version and of the others on each route that the new version has served.
fn describe_routes(routes: &IndexMap<RouteId, Comparison>) -> String {
    let tried = routes.iter().filter(|(_, scores)| scores.target.rated > 0);
    let score = |score: Score| format!("{}/{}", score.good, score.rated);
    let tried = tried.map(|(route, scores)| {
        format!("{route}:{}:{}", score(scores.target), score(scores.others))
    });
    tried.collect::<Vec<_>>().join(",")
}

fn describe(evidence: f64) -> String {
    format!("{evidence:.1}")
}
