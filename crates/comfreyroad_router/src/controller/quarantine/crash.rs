use std::time::{Duration, Instant};

use crate::frame::CrashReport;
use crate::id::{Incarnation, PromptPartId, UpstreamId};

/// Minimum time between two crashes that count separately. Connections that break at the same moment have one cause.
const MIN_SPACING: Duration = Duration::from_millis(50);

/// A request whose upstream broke the connection before the first event of the answer, to this entry or to another one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Crash {
    pub(super) upstream: UpstreamId,
    pub(super) incarnation: Incarnation,
    /// The shared parts of the prompt, in order.
    pub(super) parts: Vec<PromptPartId>,
    pub(super) sent_at: Instant,
    pub(super) broken_at: Instant,
    /// Whether the upstream has gone on to answer, so that it has not crashed.
    pub(super) is_disproved: bool,
}

impl Crash {
    /// Decodes a peer's report. `None` if its ages cannot be represented.
    pub(super) fn from_report(now: Instant, report: &CrashReport) -> Option<Self> {
        Some(Self {
            upstream: report.upstream.clone(),
            incarnation: report.incarnation,
            parts: report.parts.clone(),
            sent_at: now.checked_sub(report.sent_age)?,
            broken_at: now.checked_sub(report.broken_age)?,
            is_disproved: false,
        })
    }

    /// The report for a frame.
    pub(super) fn to_report(&self, now: Instant) -> CrashReport {
        CrashReport {
            upstream: self.upstream.clone(),
            incarnation: self.incarnation,
            parts: self.parts.clone(),
            sent_age: now.saturating_duration_since(self.sent_at),
            broken_age: now.saturating_duration_since(self.broken_at),
        }
    }

    /// Whether the same upstream has broken both.
    pub(super) fn has_same_upstream(&self, other: &Self) -> bool {
        // The numbers differ for nearly all others, and cost less to compare.
        self.incarnation == other.incarnation && self.upstream == other.upstream
    }

    /// Whether both concern the same prompt at the same upstream.
    pub(super) fn is_same(&self, other: &Self) -> bool {
        self.has_same_upstream(other) && self.parts == other.parts
    }

    /// Whether the request was sent once an earlier one had failed. The tolerance covers the error of times that peers report.
    fn follows(&self, earlier: &Self) -> bool {
        self.broken_at >= earlier.broken_at + MIN_SPACING
            && self.sent_at + MIN_SPACING >= earlier.broken_at
            && !self.has_same_upstream(earlier)
    }
}

/// The longest series of crashes in which each request was sent after the one before had failed. Upstreams that fail together,
/// for another reason, count once.
pub(super) fn series<'a>(mut crashes: Vec<&'a Crash>) -> Vec<&'a Crash> {
    crashes.sort_by_key(|crash| crash.broken_at);
    let mut series: Vec<&'a Crash> = Vec::new();
    for crash in crashes {
        if series.last().is_none_or(|last| crash.follows(last)) {
            series.push(crash);
        }
    }
    series
}
