use std::time::Duration;

use comfreyroad::quality::{Score, log_evidence, log_evidence_below};
use indexmap::IndexMap;

use crate::frame::Peer;
use crate::id::{EntryId, Incarnation, Offset, RouteId, VersionId};
use crate::note::Note;
use crate::rollout::{Histogram, Order, RouteScore, Tally};
use crate::upstream::Median;

/// Number of failures on one route, and drop of the success rate there, that together prevent the cutover.
const SUSPICIOUS_FAILURES: u32 = 2;
const SUSPICIOUS_RATE_DROP: f64 = 0.25;
/// Log evidence of slowness above which the cutover is prevented: the new version is more likely slower than not.
const SUSPICIOUS_SLOWNESS: f64 = 0.0;
/// Tolerated drop of the success rate of a new version.
const FAILURE_MARGIN: f64 = 0.03;
/// Service time, as a factor of the other versions' median, above which an answer counts as slow. Versions that do several
/// times the work take only about twice the time per event, as much of a decoding step does not depend on the work.
const SLOW_FACTOR: f64 = 1.25;
/// Quantiles of the other versions' service times between which the limits lie by which answers are rated in addition. Times
/// that vary with the load leave little evidence at the median. Slow versions differ where few others are slower, or, if the
/// others are under load, where few of the new version's are as fast.
const LIMIT_QUANTILES: (f64, f64) = (0.25, 0.9);
/// Tolerated increase of the fraction of answers of a new version that are slower than a multiple of the median.
const SLOW_MARGIN: f64 = 0.15;
/// Tolerated increase of the fraction of answers of a new version that are slower than one of the limits. It is small, because
/// upstreams of a new version have less load than the others.
const LIMIT_MARGIN: f64 = 0.05;
/// Standard errors by which the other versions' fraction of fast answers may be overestimated.
const BASELINE_STANDARD_ERRORS: f64 = 2.0;
/// Answers of the other versions that are needed before service times are compared.
const MIN_SERVICE_TIME_SAMPLES: u32 = 16;

/// Requests and answers of a rollout as counted by all entries: a grow-only counter per entry, merged by gossip.
#[derive(Debug)]
pub(super) struct Counts {
    target: VersionId,
    own: Tally,
    peers: IndexMap<(EntryId, Incarnation), Tally>,
    // Median service time of the other versions.
    baseline_service_time: Median,
}

impl Counts {
    /// Empty counts for a rollout.
    pub(super) fn new(order: &Order, offset: Offset, own: &Peer) -> Self {
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
                target_times: Histogram::default(),
                others_times: Histogram::default(),
                revision: 0,
            },
            peers: IndexMap::new(),
            baseline_service_time: Median::default(),
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

    /// Counts a finished answer on a route.
    pub(super) fn count_answer(&mut self, version: &VersionId, route: &RouteId, is_success: bool) {
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
            score.target.count(is_success);
        } else {
            score.others.count(is_success);
        }
    }

    /// Counts a request sent to a version.
    pub(super) fn count_request(&mut self, version: &VersionId) {
        self.own.revision += 1;
        if *version == self.target {
            self.own.target_sent += 1;
        } else {
            self.own.others_sent += 1;
        }
    }

    /// Counts an answer as fast or slow by its service time.
    pub(super) fn count_service_time(&mut self, version: &VersionId, service_time: Duration) {
        let is_target = *version == self.target;
        self.own.revision += 1;
        if is_target {
            self.own.target_times.add(service_time);
        } else {
            self.own.others_times.add(service_time);
        }
        let baseline = self
            .baseline_service_time
            .estimate(MIN_SERVICE_TIME_SAMPLES);
        if !is_target {
            self.baseline_service_time.add(service_time);
        }
        let Some(baseline) = baseline else { return };
        let is_fast = service_time <= baseline.mul_f64(SLOW_FACTOR);
        if is_target {
            self.own.target_speed.count(is_fast);
        } else {
            self.own.others_speed.count(is_fast);
        }
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
        let tallies = self.peers.values().chain([&self.own]);
        let sum = |(target, others): (f64, f64), tally: &Tally| {
            (
                target + f64::from(tally.target_sent),
                others + f64::from(tally.others_sent),
            )
        };
        tallies.fold((0.0, 0.0), sum)
    }

    /// Log evidence that the new version is worse: that it fails more often on some route, or that it is slower.
    pub(super) fn log_evidence(&self) -> f64 {
        let routes = self.route_scores();
        // Bonferroni correction: the more routes are tested, the more evidence each of them needs.
        let correction = (routes.len().max(1) as f64).ln();
        let failures = routes
            .values()
            .map(|(target, others)| log_evidence(*target, *others, FAILURE_MARGIN) - correction);
        let (target, others) = self.speed_scores();
        let slowness = [
            log_evidence(target, others, SLOW_MARGIN),
            self.log_evidence_of_times(),
        ];
        failures.chain(slowness).fold(f64::NEG_INFINITY, f64::max)
    }

    /// Whether the new version looks slower, or worse on some route, by too few answers to be significant. This is enough to
    /// prevent the cutover.
    pub(super) fn is_suspicious(&self) -> bool {
        let rate = |score: Score| f64::from(score.good) / f64::from(score.rated.max(1));
        let routes = self.route_scores();
        let fails_more = routes.values().any(|(target, others)| {
            let failures = target.rated - target.good;
            failures >= SUSPICIOUS_FAILURES && rate(*target) < rate(*others) - SUSPICIOUS_RATE_DROP
        });
        fails_more || self.log_evidence_of_times() > SUSPICIOUS_SLOWNESS
    }

    /// Scores of the new version and of the others by route, summed over all entries.
    fn route_scores(&self) -> IndexMap<RouteId, (Score, Score)> {
        let mut routes: IndexMap<RouteId, (Score, Score)> = IndexMap::new();
        for tally in self.peers.values().chain([&self.own]) {
            for score in &tally.routes {
                let (target, others) = routes.entry(score.route.clone()).or_default();
                *target += score.target;
                *others += score.others;
            }
        }
        routes
    }

    /// Log evidence that the service times of the new version are longer, by the limit at which they differ most.
    fn log_evidence_of_times(&self) -> f64 {
        let (mut target, mut others) = (Histogram::default(), Histogram::default());
        for tally in self.tallies() {
            target.merge(&tally.target_times);
            others.merge(&tally.others_times);
        }
        if target.total() == 0 || others.total() < MIN_SERVICE_TIME_SAMPLES {
            return 0.0;
        }
        let (low, high) = LIMIT_QUANTILES;
        let limits = others.quantile(low)..=others.quantile(high);
        let correction = (limits.clone().count() as f64).ln();
        let evidence = |limit| {
            let target = Score {
                rated: target.total(),
                good: target.up_to(limit),
            };
            let total = f64::from(others.total());
            let fast = f64::from(others.up_to(limit)) / total;
            let standard_error = (fast * (1.0 - fast) / total).sqrt();
            let expected = fast - BASELINE_STANDARD_ERRORS * standard_error - LIMIT_MARGIN;
            log_evidence_below(target, expected) - correction
        };
        limits.map(evidence).fold(f64::NEG_INFINITY, f64::max)
    }

    /// Speed scores of the new version and of the others, summed over all entries.
    fn speed_scores(&self) -> (Score, Score) {
        let (mut target, mut others) = (Score::default(), Score::default());
        for tally in self.tallies() {
            target += tally.target_speed;
            others += tally.others_speed;
        }
        (target, others)
    }

    /// Scores of the new version and of the others, summed over all entries and routes.
    fn total_scores(&self) -> (Score, Score) {
        let (mut target, mut others) = (Score::default(), Score::default());
        for (route_target, route_others) in self.route_scores().values() {
            target += *route_target;
            others += *route_others;
        }
        (target, others)
    }

    /// Good and rated answers of the new version and of the others on each route that the new version has served.
    fn describe_routes(&self) -> String {
        let routes = self.route_scores();
        let tried = routes.iter().filter(|(_, (target, _))| target.rated > 0);
        let score = |score: &Score| format!("{}/{}", score.good, score.rated);
        let tried = tried.map(|(route, (target, others))| {
            format!("{route}:{}:{}", score(target), score(others))
        });
        tried.collect::<Vec<_>>().join(",")
    }

    /// Adds the scores to a log event.
    pub(super) fn annotate(&self, note: Note) -> Note {
        let (target, others) = self.total_scores();
        let (target_speed, others_speed) = self.speed_scores();
        let (target_sent, others_sent) = self.requests();
        note.with("sent", target_sent)
            .with("others_sent", others_sent)
            .with("routes", self.describe_routes())
            .with("answers", target.rated)
            .with("good", target.good)
            .with("others", others.rated)
            .with("others_good", others.good)
            .with("paces", target_speed.rated)
            .with("fast", target_speed.good)
            .with("others_paces", others_speed.rated)
            .with("others_fast", others_speed.good)
            .with(
                "times_evidence",
                format_args!("{:.1}", self.log_evidence_of_times()),
            )
    }
}
