//! The report printed at the end of a demonstration run.

use comfreyroad_fakes::load::Verdict;
use serde::Serialize;

use crate::journal::Journals;
use crate::ledger::Bills;
use crate::trace::Trace;
use crate::{Error, Result};

/// Counts over all requests of a run.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Report {
    /// Number of requests sent.
    pub requests: u64,
    /// Complete answers that match their requests.
    pub whole: u64,
    /// Requests refused and certainly not executed.
    pub refused_not_run: u64,
    /// Requests refused or unanswered that may have been executed.
    pub refused_maybe: u64,
    /// Answers that belong to another request, are out of order or broke off.
    pub wrong: u64,
    /// Bookings executed more than once.
    pub doubled: u64,
    /// Number of billed requests.
    pub billed: u64,
    /// Their cost, in millionths of the currency.
    pub cost: u64,
    /// Median of the time to the first token.
    pub ttft_p50_ms: f64,
    /// 99th percentile of the time to the first token.
    pub ttft_p99_ms: f64,
}

impl Report {
    /// Summarises a run from the callers' trace, the upstreams' journals and the bills.
    pub fn new(trace: &Trace, journals: &Journals, bills: &Bills) -> Result<Self> {
        let first = trace.first_token()?;
        Ok(Self {
            requests: trace.lines.len() as u64,
            whole: trace.count(Verdict::Whole),
            refused_not_run: trace.count(Verdict::RefusedNotRun),
            refused_maybe: trace.count(Verdict::RefusedMaybe),
            wrong: trace.count(Verdict::Wrong) + trace.count(Verdict::Broken),
            doubled: journals.duplicate_bookings().len() as u64,
            billed: bills.requests,
            cost: bills.cost,
            ttft_p50_ms: first.p50,
            ttft_p99_ms: first.p99,
        })
    }

    /// The counts as one line of JSON, in the order of the fields.
    pub fn to_json(&self) -> Result<String> {
        serde_json::to_string(self).map_err(|source| Error::Json {
            step: "write report",
            peer: "standard output".to_owned(),
            source,
        })
    }

    /// Whether the counts are correct for a run without faults.
    #[must_use]
    pub fn passes(&self) -> bool {
        self.whole > 0
            && self.whole + self.refused_not_run == self.requests
            && self.wrong + self.doubled + self.refused_maybe == 0
            && self.billed == self.whole
    }
}
