use std::time::Duration;

use hdrhistogram::{CreationError, Histogram};
use indexmap::IndexMap;
use serde_json::{Value, json};

use super::{Outcome, Verdict};
use crate::VersionId;

/// Significant decimal digits of the histograms.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Counts over all requests of a run.
pub struct Tally {
    verdicts: IndexMap<Verdict, u64>,
    requests: u64,
    retries: u64,
    late: u64,
    moved: u64,
    first: Histogram<u64>,
    total: Histogram<u64>,
    versions: IndexMap<VersionId, u64>,
    codes: IndexMap<String, u64>,
}

impl Tally {
    /// Creates a tally without requests.
    pub fn new() -> Result<Self, CreationError> {
        Ok(Self {
            verdicts: IndexMap::new(),
            requests: 0,
            retries: 0,
            late: 0,
            moved: 0,
            first: Histogram::new(SIGNIFICANT_DIGITS)?,
            total: Histogram::new(SIGNIFICANT_DIGITS)?,
            versions: IndexMap::new(),
            codes: IndexMap::new(),
        })
    }

    /// Counts a request; only whole answers are included in the latency histograms.
    pub fn add(&mut self, outcome: &Outcome) {
        self.requests += 1;
        self.retries += u64::from(outcome.sent.saturating_sub(1));
        self.late += u64::from(outcome.late);
        self.moved += u64::from(outcome.moved);
        *self.verdicts.entry(outcome.verdict).or_default() += 1;
        if let Some(version) = &outcome.version {
            *self.versions.entry(version.clone()).or_default() += 1;
        }
        for code in &outcome.codes {
            *self.codes.entry(code.clone()).or_default() += 1;
        }
        if outcome.verdict == Verdict::Whole {
            record(&mut self.first, outcome.first);
            record(&mut self.total, outcome.total);
        }
    }

    /// The counts as JSON.
    #[must_use]
    pub fn json(&self) -> Value {
        let count = |verdict| self.verdicts.get(&verdict).copied().unwrap_or_default();
        json!({
            "requests": self.requests,
            "whole": count(Verdict::Whole),
            "refused_not_run": count(Verdict::RefusedNotRun),
            "refused_maybe": count(Verdict::RefusedMaybe),
            "wrong": count(Verdict::Wrong),
            "broken": count(Verdict::Broken),
            "retries": self.retries,
            "sessions_moved": self.moved,
            "late": self.late,
            "ttft_p50_ms": quantile(&self.first, 0.5),
            "ttft_p95_ms": quantile(&self.first, 0.95),
            "ttft_p99_ms": quantile(&self.first, 0.99),
            "total_p50_ms": quantile(&self.total, 0.5),
            "total_p95_ms": quantile(&self.total, 0.95),
            "total_p99_ms": quantile(&self.total, 0.99),
            "by_version": self.versions,
            "by_code": self.codes,
        })
    }
}

fn record(histogram: &mut Histogram<u64>, time: Option<Duration>) {
    if let Some(time) = time {
        // The histogram resizes itself, so every value fits.
        histogram.record(time.as_micros() as u64).ok();
    }
}

/// Quantile in milliseconds of a histogram in microseconds.
fn quantile(histogram: &Histogram<u64>, quantile: f64) -> f64 {
    histogram.value_at_quantile(quantile) as f64 / 1000.0
}
