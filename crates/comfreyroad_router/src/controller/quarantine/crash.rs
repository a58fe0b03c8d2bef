use std::time::{Duration, Instant};

use crate::answer::Milestone;
use crate::frame::CrashReport;
use crate::id::{Incarnation, PromptPartId, UpstreamId};

/// Minimum time between two crashes that count separately, if the later one may have been under way, and in full. Connections that
/// break at the same moment have one cause.
const MIN_SPACING: Duration = Duration::from_millis(50);
/// What a crash at the beginning of an answer says for the parts of its prompt.
pub(super) const EARLY_EVIDENCE: u32 = 4;
/// The same for a crash later in the answer, where most of the streams are that an upstream serves when it crashes for another reason.
const LATE_EVIDENCE: u32 = 2;

/// A request whose upstream broke the connection before the end of the answer, to this entry or to another one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Crash {
    pub(super) upstream: UpstreamId,
    pub(super) incarnation: Incarnation,
    /// The shared parts of the prompt, in order.
    pub(super) parts: Vec<PromptPartId>,
    /// How far the answer had got; `None` at its beginning.
    pub(super) milestone: Option<Milestone>,
    /// Whether the request was sent on a connection that was opened for it, so that the upstream was alive then.
    pub(super) is_on_new_connection: bool,
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
            milestone: report.milestone,
            is_on_new_connection: report.is_on_new_connection,
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
            milestone: self.milestone,
            is_on_new_connection: self.is_on_new_connection,
            sent_age: now.saturating_duration_since(self.sent_at),
            broken_age: now.saturating_duration_since(self.broken_at),
        }
    }

    /// What the crash says for a part of its prompt.
    pub(super) fn evidence(&self) -> u32 {
        match self.milestone {
            None => EARLY_EVIDENCE,
            Some(_) => LATE_EVIDENCE,
        }
    }

    /// Whether the same upstream has broken both.
    pub(super) fn has_same_upstream(&self, other: &Self) -> bool {
        // The numbers differ for nearly all others, and cost less to compare.
        self.incarnation == other.incarnation && self.upstream == other.upstream
    }

    /// Whether both concern the same prompt at the same upstream, and as much of its answer.
    pub(super) fn is_same(&self, other: &Self) -> bool {
        self.has_same_upstream(other)
            && self.milestone == other.milestone
            && self.parts == other.parts
    }

    /// Whether it came so soon after an earlier one that both may have one cause.
    pub(super) fn is_simultaneous(&self, earlier: &Self) -> bool {
        self.broken_at < earlier.broken_at + MIN_SPACING
    }

    /// Whether the request was sent once an earlier one had failed, to an upstream that had not failed with it. The tolerance covers the
    /// error of times that peers report.
    fn follows(&self, earlier: &Self) -> bool {
        if self.has_same_upstream(earlier) {
            return false;
        }
        let was_alive = self.is_on_new_connection && self.sent_at >= earlier.broken_at;
        let is_later = self.sent_at + MIN_SPACING >= earlier.broken_at;
        was_alive || (is_later && !self.is_simultaneous(earlier))
    }
}

/// The longest series of crashes in which each request was sent after the one before had failed. Upstreams that fail together,
/// for another reason, count once.
pub(super) fn series(crashes: Vec<&Crash>) -> Vec<&Crash> {
    chain(crashes, Crash::follows)
}

/// One crash for each time at which upstreams have crashed. Those that fail together count once.
pub(super) fn outages(crashes: Vec<&Crash>) -> Vec<&Crash> {
    chain(crashes, |crash, last| {
        !crash.is_simultaneous(last) && !crash.has_same_upstream(last)
    })
}

/// The crashes in the order of their times, without those that are not next to the last one that was taken.
fn chain(mut crashes: Vec<&Crash>, is_next: impl Fn(&Crash, &Crash) -> bool) -> Vec<&Crash> {
    crashes.sort_by_key(|crash| crash.broken_at);
    let mut chain: Vec<&Crash> = Vec::new();
    for crash in crashes {
        if chain.last().is_none_or(|last| is_next(crash, last)) {
            chain.push(crash);
        }
    }
    chain
}
