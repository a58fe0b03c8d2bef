use std::time::Instant;

use comfreyroad_fakes::answer::Quality;
use comfreyroad_fakes::load::{Kind, Verdict};

use super::Timeline;
use crate::Result;
use crate::trace::{Quantiles, Trace};

/// Results of one run of one contender.
#[derive(Clone, Debug, Default)]
pub struct Sample {
    /// Number of requests of the whole run.
    pub requests: u64,
    /// Percentage of them answered completely and by their deadline.
    pub on_time_percent: f64,
    /// Cost of a good answer in the calm span, in millionths of the currency.
    pub good_answer_cost: f64,
    /// Percentage of good answers in the calm span.
    pub good_percent: f64,
    /// Mean quality target of the requests of the calm span, in percent.
    pub target_percent: f64,
    /// Number of routes whose share of good answers is below the target.
    pub routes_below_target: u64,
    /// Time to the first token in the calm span.
    pub first_token: Quantiles,
    /// Time to the end of streamed answers in the calm span.
    pub streamed: Quantiles,
    /// Time to the end of unstreamed answers in the calm span.
    pub unstreamed: Quantiles,
    /// Latency of lookups in the calm span.
    pub lookup: Quantiles,
    /// Latency of bookings in the calm span.
    pub booking: Quantiles,
    /// Bad answers that callers got while the version was bad.
    pub bad_answers: u64,
    /// Seconds from the start of the bad answers to the arrival of the last request that got one.
    pub last_bad_answer_seconds: f64,
    /// Percentage of requests on time from the publish that takes the zone out to the end of the run.
    pub zone_on_time_percent: f64,
    /// Percentage of requests on time in the worst second of that span.
    pub zone_worst_second_percent: f64,
    /// Seconds from that publish to the last new work in the zone.
    pub zone_last_new_work_seconds: f64,
    /// Number of upstream crashes from overload while cold.
    pub crashes: u64,
    /// Processor time of the entries in the calm span, in microseconds per request.
    pub processor_micros: f64,
    /// Requests on time and all requests, by second of arrival.
    pub by_second: Vec<(u64, u64)>,
    /// Bookings executed more than once.
    pub duplicate_bookings: u64,
    /// Answers that belong to another request, are out of order or broke off.
    pub wrong_answers: u64,
    /// Requests of sessions whose version changed.
    pub moved_requests: u64,
}

impl Sample {
    /// Computes the values that depend only on the callers' trace.
    pub fn from_trace(trace: &Trace, timeline: &Timeline) -> Result<Self> {
        let between =
            |from: Instant, to: Instant| trace.between(timeline.millis(from), timeline.millis(to));
        let calm = between(timeline.calm, timeline.calm_end);
        let zone = between(timeline.zone_out, timeline.end);
        let sample = Self {
            requests: trace.lines.len() as u64,
            on_time_percent: trace.on_time_percent(),
            first_token: calm.first_token()?,
            streamed: calm.total_time(Kind::Draft)?,
            unstreamed: calm.total_time(Kind::Whole)?,
            lookup: calm.total_time(Kind::Lookup)?,
            booking: calm.total_time(Kind::Booking)?,
            zone_on_time_percent: zone.on_time_percent(),
            by_second: by_second(trace, timeline),
            wrong_answers: trace.count(Verdict::Wrong) + trace.count(Verdict::Broken),
            moved_requests: trace.lines.iter().filter(|line| line.moved).count() as u64,
            ..Self::default()
        };
        Ok(sample.with_bad(trace, timeline).with_worst_second(timeline))
    }

    /// Adds the bad answers given while the version was bad.
    fn with_bad(self, trace: &Trace, timeline: &Timeline) -> Self {
        let span = trace.between(
            timeline.millis(timeline.bad_start),
            timeline.millis(timeline.bad_end),
        );
        let bad = span
            .lines
            .iter()
            .filter(|line| line.quality == Some(Quality::Bad));
        let last = bad.clone().map(|line| line.at_ms).max();
        let since =
            |at: u64| at.saturating_sub(timeline.millis(timeline.bad_start)) as f64 / 1000.0;
        Self {
            bad_answers: bad.count() as u64,
            last_bad_answer_seconds: last.map_or(0.0, since),
            ..self
        }
    }

    fn with_worst_second(self, timeline: &Timeline) -> Self {
        let from = timeline.seconds(timeline.zone_out) as usize;
        let seconds = self.by_second.iter().skip(from).filter(|(_, all)| *all > 0);
        let worst = seconds
            .map(|(on_time, all)| percent(*on_time, *all))
            .fold(100.0, f64::min);
        Self {
            zone_worst_second_percent: worst,
            ..self
        }
    }
}

fn by_second(trace: &Trace, timeline: &Timeline) -> Vec<(u64, u64)> {
    let length = timeline.seconds(timeline.end).ceil() as usize;
    let mut seconds = vec![(0, 0); length];
    for line in &trace.lines {
        let second = usize::try_from(line.at_ms / 1000).unwrap_or(usize::MAX);
        if let Some((on_time, all)) = seconds.get_mut(second) {
            *on_time += u64::from(line.is_on_time());
            *all += 1;
        }
    }
    seconds
}

fn percent(part: u64, all: u64) -> f64 {
    100.0 * part as f64 / all.max(1) as f64
}
