//! What callers got, as the load tool wrote it down.

use std::path::Path;

use comfreyroad_fakes::answer::Quality;
use comfreyroad_fakes::load::{Kind, Verdict};
use hdrhistogram::Histogram;
use indexmap::IndexMap;
use serde::Deserialize;

use crate::{CustomerId, Error, RequestId, Result, VersionId, folder};

/// Significant digits of the histograms.
const DIGITS: u8 = 3;

/// What came of one request.
#[derive(Clone, Debug, Deserialize)]
pub struct Line {
    /// Name of the request.
    pub id: RequestId,
    /// Milliseconds from the run's begin to its arrival.
    pub at_ms: u64,
    /// Its kind.
    pub kind: Kind,
    /// Who asked.
    pub customer: CustomerId,
    /// What came of it.
    pub verdict: Verdict,
    /// Status of the last answer, 0 for none.
    pub status: u16,
    /// Codes of the refusals met, the last one last.
    pub codes: Vec<String>,
    /// Version that answered.
    pub version: Option<VersionId>,
    /// Route, model or version asked.
    pub model: Option<String>,
    /// How good the answer was.
    pub quality: Option<Quality>,
    /// Tokens of a whole answer.
    pub tokens: u32,
    /// Times that it was sent.
    pub sent: u32,
    /// Milliseconds to the first token, or to the answer of a plain service.
    pub ttft_ms: Option<f64>,
    /// Milliseconds to the answer's end.
    pub total_ms: Option<f64>,
    /// Whether the answer was not there by the deadline.
    pub late: bool,
    /// Whether the session's version changed.
    pub moved: bool,
}

/// All requests of a run.
#[derive(Clone, Debug, Default)]
pub struct Trace {
    /// One each.
    pub lines: Vec<Line>,
}

/// Quantiles in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Quantiles {
    /// The median.
    pub p50: f64,
    /// What 95 in 100 stay below.
    pub p95: f64,
    /// What 99 in 100 stay below.
    pub p99: f64,
}

impl Line {
    /// Whether a model was asked.
    #[must_use]
    pub fn is_chat(&self) -> bool {
        matches!(self.kind, Kind::Draft | Kind::Whole)
    }

    /// Whether the whole answer came by its deadline.
    #[must_use]
    pub fn is_on_time(&self) -> bool {
        self.verdict == Verdict::Whole && !self.late
    }
}

impl Trace {
    /// Reads a file of the load tool.
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

    /// The requests that arrived from one moment to another, in milliseconds from the run's begin.
    #[must_use]
    pub fn between(&self, from_ms: u64, to_ms: u64) -> Self {
        let arrived = |line: &&Line| (from_ms..to_ms).contains(&line.at_ms);
        let lines = self.lines.iter().filter(arrived).cloned().collect();
        Self { lines }
    }

    /// Percent of the requests answered whole and by their deadline.
    #[must_use]
    pub fn on_time_percent(&self) -> f64 {
        let on_time = self.lines.iter().filter(|line| line.is_on_time()).count();
        100.0 * on_time as f64 / self.lines.len().max(1) as f64
    }

    /// Requests with a verdict.
    #[must_use]
    pub fn count(&self, verdict: Verdict) -> u64 {
        let lines = self.lines.iter();
        lines.filter(|line| line.verdict == verdict).count() as u64
    }

    /// How often each refusal's code was met, in words.
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

    /// Time to the first token of streamed answers that were whole.
    pub fn first_token(&self) -> Result<Quantiles> {
        let lines = self.lines.iter();
        Quantiles::from_times(
            lines
                .filter(|line| line.kind == Kind::Draft && line.verdict == Verdict::Whole)
                .filter_map(|line| line.ttft_ms),
        )
    }

    /// Time to the end of answers of a kind that were whole.
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
