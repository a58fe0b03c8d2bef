use super::Sample;

/// One row of a table.
#[derive(Clone, Copy)]
pub struct Metric {
    /// Title of the row, with the unit.
    pub name: &'static str,
    /// Whether lower values are better; `None` if neither direction is.
    pub less_is_better: Option<bool>,
    /// Returns the value of a sample.
    pub value: fn(&Sample) -> f64,
}

impl Metric {
    const fn less(name: &'static str, value: fn(&Sample) -> f64) -> Self {
        Self {
            name,
            less_is_better: Some(true),
            value,
        }
    }

    const fn more(name: &'static str, value: fn(&Sample) -> f64) -> Self {
        Self {
            name,
            less_is_better: Some(false),
            value,
        }
    }

    const fn plain(name: &'static str, value: fn(&Sample) -> f64) -> Self {
        Self {
            name,
            less_is_better: None,
            value,
        }
    }

    /// All rows, in the order of the table.
    pub const ALL: &'static [Self] = &[
        Self::less("cost of a good answer (millionths)", |sample| {
            sample.good_answer_cost
        }),
        Self::more("good answers (%)", |sample| sample.good_percent),
        Self::plain("good answers asked for (%)", |sample| sample.target_percent),
        Self::less("routes below their quality target", |sample| {
            sample.routes_below_target as f64
        }),
        Self::less("first token p50 (ms)", |sample| sample.first_token.p50),
        Self::less("first token p95 (ms)", |sample| sample.first_token.p95),
        Self::less("first token p99 (ms)", |sample| sample.first_token.p99),
        Self::less("streamed answer p50 (ms)", |sample| sample.streamed.p50),
        Self::less("streamed answer p95 (ms)", |sample| sample.streamed.p95),
        Self::less("streamed answer p99 (ms)", |sample| sample.streamed.p99),
        Self::less("answer in one piece p50 (ms)", |sample| {
            sample.unstreamed.p50
        }),
        Self::less("answer in one piece p95 (ms)", |sample| {
            sample.unstreamed.p95
        }),
        Self::less("answer in one piece p99 (ms)", |sample| {
            sample.unstreamed.p99
        }),
        Self::less("lookup p50 (ms)", |sample| sample.lookup.p50),
        Self::less("lookup p99 (ms)", |sample| sample.lookup.p99),
        Self::less("booking p50 (ms)", |sample| sample.booking.p50),
        Self::less("booking p99 (ms)", |sample| sample.booking.p99),
        Self::less("answers by the bad version", |sample| {
            sample.bad_answers as f64
        }),
        Self::less("bad version: last bad answer after (s)", |sample| {
            sample.last_bad_answer_seconds
        }),
        Self::more("zone out and back: on time (%)", |sample| {
            sample.zone_on_time_percent
        }),
        Self::more("zone out and back: worst second on time (%)", |sample| {
            sample.zone_worst_second_percent
        }),
        Self::less("zone out: last new work after (s)", |sample| {
            sample.zone_last_new_work_seconds
        }),
        Self::more("whole run: on time (%)", |sample| sample.on_time_percent),
        Self::less("upstreams fell over", |sample| sample.crashes as f64),
        Self::less("bookings doubled", |sample| {
            sample.duplicate_bookings as f64
        }),
        Self::less("answers wrong or broken", |sample| {
            sample.wrong_answers as f64
        }),
        Self::less("turns of sessions on another version", |sample| {
            sample.moved_requests as f64
        }),
        Self::less("router's processor time (us a request)", |sample| {
            sample.processor_micros
        }),
    ];
}
