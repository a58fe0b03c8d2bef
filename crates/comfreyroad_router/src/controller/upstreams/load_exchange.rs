//! Exchange of load reports between entries.
//!
//! Answers the load pattern in which many entries share many engines: an entry that receives a few answers per second hears of
//! each engine only once in many seconds, and cannot see which ones are full.

use std::time::{Duration, Instant};

use super::Upstreams;
use crate::frame::LoadReport;
use crate::id::PoolId;
use crate::upstream::{Load, Upstream};

/// Age up to which a report is passed on. It takes up to five gossip rounds to arrive.
const MAX_FORWARD_AGE: Duration = Duration::from_millis(1500);
/// Factor from fractions to percent.
const PERCENT: f64 = 100.0;
/// Maximum number of reports in a frame. The newest are sent.
const MAX_REPORTS_PER_FRAME: usize = 128;

impl Upstreams {
    /// The reports for a frame. Relays pass on the reports of other entries; the others send what they have received
    /// themselves.
    pub(super) fn load_reports(&self, now: Instant) -> Vec<LoadReport> {
        let is_relay = self.fleet.is_relay(&self.entry);
        let report = |upstream: &Upstream| {
            let load = upstream.load.filter(|load| is_relay || !load.is_relayed)?;
            let age = now.saturating_duration_since(load.reported_at);
            // A plain service answers within milliseconds, so its load has changed when the report arrives.
            (upstream.is_engine() && age <= MAX_FORWARD_AGE).then(|| LoadReport {
                upstream: upstream.id.clone(),
                incarnation: upstream.registration.incarnation,
                running: load.running,
                waiting: load.waiting,
                slots: load.slots,
                work_time_percent: load.work_time_percent,
                pace: pace_sample(now, upstream),
                age,
            })
        };
        let mut reports: Vec<LoadReport> = self.upstreams.values().filter_map(report).collect();
        reports.sort_by_key(|report| report.age);
        reports.truncate(MAX_REPORTS_PER_FRAME);
        reports
    }

    /// Requests at the engines of a pool, running and waiting, as a fraction of their slots; `None` without recent reports.
    pub(crate) fn utilization(&self, now: Instant, pool: &PoolId) -> Option<f64> {
        let in_pool = |it: &&Upstream| it.registration.pool == *pool && it.is_ready(now);
        let upstreams = self.upstreams.values().filter(in_pool);
        let loads = upstreams.filter_map(|it| it.recent_load(now));
        let (requests, slots) = loads.fold((0.0, 0.0), |(requests, slots), load| {
            let reported = f64::from(load.requests());
            (requests + reported, slots + f64::from(load.slots))
        });
        (slots > 0.0).then(|| requests / slots)
    }

    /// The utilization of a pool of engines. That of plain services is not exchanged, and an entry alone sees too few answers.
    pub(crate) fn shared_utilization(&self, now: Instant, pool: &PoolId) -> Option<f64> {
        let mut upstreams = self.upstreams.values();
        let has_engines = upstreams.any(|it| it.registration.pool == *pool && it.is_engine());
        self.utilization(now, pool).filter(|_| has_engines)
    }

    /// Requests that the upstreams of a pool can process concurrently.
    pub(crate) fn slots(&self, now: Instant, pool: &PoolId) -> u32 {
        let in_pool = |it: &&Upstream| it.registration.pool == *pool && it.is_ready(now);
        let upstreams = self.upstreams.values().filter(in_pool);
        upstreams.map(|it| it.registration.slots).sum()
    }

    /// Takes the reports of a peer that are newer than this entry's own.
    pub(super) fn on_load_reports(&mut self, now: Instant, reports: &[LoadReport]) {
        for report in reports {
            let key = (&report.upstream, report.incarnation, report.age);
            let Some((upstream, reported_at)) = self.reported(now, key) else {
                continue;
            };
            if let Some((percent, age)) = report.pace
                && let Some(at) = now.checked_sub(Duration::from_millis(age.into()))
            {
                upstream.pace.add(at, f64::from(percent) / PERCENT);
            }
            let is_older = upstream
                .load
                .is_some_and(|load| load.reported_at >= reported_at);
            if is_older {
                continue;
            }
            upstream.record_load(Load {
                running: report.running,
                waiting: report.waiting,
                slots: report.slots,
                work_time_percent: report.work_time_percent,
                reported_at,
                own_requests: upstream.open_requests(),
                is_relayed: true,
            });
        }
    }
}

/// The last sample of an upstream's pace, in percent and with its age in milliseconds, if it is recent.
fn pace_sample(now: Instant, upstream: &Upstream) -> Option<(u32, u32)> {
    let (at, factor) = upstream.pace.last()?;
    let age = now.saturating_duration_since(at);
    (age <= MAX_FORWARD_AGE).then_some(((factor * PERCENT).round() as u32, age.as_millis() as u32))
}
