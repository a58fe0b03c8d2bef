use std::time::Instant;

use comfreyroad_fakes::answer::Quality;
use comfreyroad_fakes::load::{Kind, Verdict};

use super::Timeline;
use crate::Result;
use crate::trace::{Quantiles, Trace};

/// What one run of one contender gave.
#[derive(Clone, Debug, Default)]
pub struct Sample {
    /// Requests of the whole run.
    pub requests: u64,
    /// Percent of them answered whole and by their deadline.
    pub on_time_percent: f64,
    /// Cost of a good answer in the calm span, in millionths of the currency.
    pub good_answer_cost: f64,
    /// Percent of good answers in the calm span.
    pub good_percent: f64,
    /// Percent of good answers that the requests of the calm span ask for, on average.
    pub target_percent: f64,
    /// Kinds of request (by route) whose part of good answers is below the target.
    pub routes_below_target: u64,
    /// Time to the first token in the calm span.
    pub first_token: Quantiles,
    /// Time to the end of streamed answers in the calm span.
    pub streamed: Quantiles,
    /// Time to the end of answers in one piece in the calm span.
    pub unstreamed: Quantiles,
    /// Time of lookups in the calm span.
    pub lookup: Quantiles,
    /// Time of bookings in the calm span.
    pub booking: Quantiles,
    /// Bad answers that callers got while the version was bad.
    pub bad_answers: u64,
    /// Seconds from the version's turn to the arrival of the last request that it answered badly.
    pub last_bad_answer_seconds: f64,
    /// Percent of requests on time from the zone's publish to the end.
    pub zone_on_time_percent: f64,
    /// Percent of requests on time in the worst second of that span.
    pub zone_worst_second_percent: f64,
    /// Seconds from the zone's publish to its last new work.
    pub zone_last_new_work_seconds: f64,
    /// How often upstreams fell over.
    pub crashes: u64,
    /// Processor time of the entries in the calm span, in microseconds a request.
    pub processor_micros: f64,
    /// Requests by the second of their arrival: on time, and all.
    pub by_second: Vec<(u64, u64)>,
    /// Bookings executed more than once.
    pub duplicate_bookings: u64,
    /// Answers that were not the request's own, out of order, or broke off.
    pub wrong_answers: u64,
    /// Requests of sessions whose version changed.
    pub moved_requests: u64,
}

impl Sample {
    /// What callers got.
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

    /// Adds what the version answered while it was bad.
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
