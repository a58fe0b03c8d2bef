//! Trace of the load tool: the outcome of each request as its caller sees it.

use std::path::Path;

use comfreyroad_fakes::answer::Quality;
use comfreyroad_fakes::load::{Kind, Verdict};
use hdrhistogram::Histogram;
use indexmap::IndexMap;
use serde::Deserialize;

use crate::{CustomerId, Error, RequestId, Result, VersionId, folder};

/// Significant digits of the histograms.
const DIGITS: u8 = 3;

/// Outcome of one request.
#[derive(Clone, Debug, Deserialize)]
pub struct Line {
    /// Id of the request.
    pub id: RequestId,
    /// Milliseconds from the start of the run to the arrival of the request.
    pub at_ms: u64,
    /// Kind of the request.
    pub kind: Kind,
    /// Customer that sent it.
    pub customer: CustomerId,
    /// Verdict on the answer.
    pub verdict: Verdict,
    /// HTTP status of the last answer, 0 for none.
    pub status: u16,
    /// Codes of the refusals received, in order.
    pub codes: Vec<String>,
    /// Model version that answered.
    pub version: Option<VersionId>,
    /// Requested route, model or version.
    pub model: Option<String>,
    /// Quality of the answer.
    pub quality: Option<Quality>,
    /// Tokens of a complete answer.
    pub tokens: u32,
    /// Number of times that the request was sent.
    pub sent: u32,
    /// Milliseconds to the first token, or to the answer of a plain service.
    pub ttft_ms: Option<f64>,
    /// Milliseconds to the end of the answer.
    pub total_ms: Option<f64>,
    /// Whether the answer missed its deadline.
    pub late: bool,
    /// Whether the session moved to another version.
    pub moved: bool,
}

/// All requests of a run.
#[derive(Clone, Debug, Default)]
pub struct Trace {
    /// One line per request.
    pub lines: Vec<Line>,
}

/// Quantiles in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Quantiles {
    /// The median.
    pub p50: f64,
    /// The 95th percentile.
    pub p95: f64,
    /// The 99th percentile.
    pub p99: f64,
}

impl Line {
    /// Whether the request is a chat completion.
    #[must_use]
    pub fn is_chat(&self) -> bool {
        matches!(self.kind, Kind::Draft | Kind::Whole)
    }

    /// Whether the complete answer arrived by its deadline.
    #[must_use]
    pub fn is_on_time(&self) -> bool {
        self.verdict == Verdict::Whole && !self.late
    }
}

impl Trace {
    /// Reads a trace file of the load tool.
    pub fn read(path: &Path) -> Result<Self> {
        let text = folder::read(path)?;
        let line = |line| {
            serde_json::from_str(line).map_err(|source| Error::Json {
                step: "read trace",
                peer: path.display().to_string(),
                source,
            })
        };
        let lines = text.lines().map(line).collect::<Result<_>>()?;
        Ok(Self { lines })
    }

    /// The requests that arrived from `from_ms` up to `to_ms`, in milliseconds from the start of the run.
    #[must_use]
    pub fn between(&self, from_ms: u64, to_ms: u64) -> Self {
        let arrived = |line: &&Line| (from_ms..to_ms).contains(&line.at_ms);
        let lines = self.lines.iter().filter(arrived).cloned().collect();
        Self { lines }
    }

    /// Percentage of requests answered completely and by their deadline.
    #[must_use]
    pub fn on_time_percent(&self) -> f64 {
        let on_time = self.lines.iter().filter(|line| line.is_on_time()).count();
        100.0 * on_time as f64 / self.lines.len().max(1) as f64
    }

    /// Number of requests with the verdict.
    #[must_use]
    pub fn count(&self, verdict: Verdict) -> u64 {
        let lines = self.lines.iter();
        lines.filter(|line| line.verdict == verdict).count() as u64
    }

    /// The number of refusals of each code, as text.
    #[must_use]
    pub fn refusal_counts(&self) -> String {
        let mut codes: IndexMap<&str, u64> = IndexMap::new();
        for code in self.lines.iter().flat_map(|line| &line.codes) {
            *codes.entry(code).or_default() += 1;
        }
        let codes = codes.iter();
        let words: Vec<_> = codes
            .map(|(code, count)| format!("{code} {count}"))
            .collect();
        words.join(", ")
    }

    /// Time to the first token of complete streamed answers.
    pub fn first_token(&self) -> Result<Quantiles> {
        let lines = self.lines.iter();
        Quantiles::from_times(
            lines
                .filter(|line| line.kind == Kind::Draft && line.verdict == Verdict::Whole)
                .filter_map(|line| line.ttft_ms),
        )
    }

    /// Time to the end of complete answers of a kind.
    pub fn total_time(&self, kind: Kind) -> Result<Quantiles> {
        let lines = self.lines.iter();
        Quantiles::from_times(
            lines
                .filter(|line| line.kind == kind)
                .filter_map(|line| line.total_ms),
        )
    }
}

impl Quantiles {
    /// Quantiles of times in milliseconds.
    pub fn from_times(times: impl IntoIterator<Item = f64>) -> Result<Self> {
        let fail = |error: &dyn std::fmt::Display| Error::Draw(error.to_string());
        let mut histogram = Histogram::<u64>::new(DIGITS).map_err(|error| fail(&error))?;
        for time in times {
            let micros = (time * 1000.0) as u64;
            histogram.record(micros).map_err(|error| fail(&error))?;
        }
        let millis = |quantile| histogram.value_at_quantile(quantile) as f64 / 1000.0;
        Ok(Self {
            p50: millis(0.5),
            p95: millis(0.95),
            p99: millis(0.99),
        })
    }
}
