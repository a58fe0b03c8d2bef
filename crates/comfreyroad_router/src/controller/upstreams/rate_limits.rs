//! Rate limits that upstreams state in their answers, and their exchange between entries: those that hold no bucket for an upstream
//! get no answer from it, and those that have just started have none yet.

use std::time::{Duration, Instant};

use super::Upstreams;
use crate::answer::Statement;
use crate::frame::RateLimitReport;
use crate::note::{self, Note};
use crate::outbox::Outbox;
use crate::upstream::{RateLimit, Slot, Upstream};

/// Time for which the end of a limit is reported: several gossip rounds. Limits in force are reported for as long as they last.
const END_REPORT_TIME: Duration = Duration::from_secs(5);
/// Maximum number of reports in a frame. The newest are sent.
const MAX_REPORTS_PER_FRAME: usize = 128;

impl Upstreams {
    /// Takes what an answer says about the rate limit of its upstream. An upstream that states no limit in the answer to a request
    /// that was sent after it had stated one has no limit any more.
    pub(super) fn on_rate_limit(
        &mut self,
        now: Instant,
        (slot, sent_at): (&Slot, Instant),
        limit: Statement<f64>,
        out: &mut Outbox,
    ) {
        let Some(upstream) = self.upstream_of(slot) else {
            return;
        };
        let rate = match limit {
            Statement::Stated(rate) => Some(rate),
            Statement::Absent => {
                let stated = upstream.rate_limit.filter(|known| known.rate.is_some());
                if stated.is_none_or(|known| known.stated_at > sent_at) {
                    return;
                }
                None
            }
            Statement::Unreadable => return,
        };
        let statement = RateLimit {
            rate,
            stated_at: now,
            is_relayed: false,
        };
        set_rate_limit(upstream, statement, out);
    }

    /// The statements for a frame. Relays pass on those of other entries; the others send what they have received themselves.
    pub(super) fn rate_limit_reports(&self, now: Instant) -> Vec<RateLimitReport> {
        let is_relay = self.fleet.is_relay(&self.entry);
        let report = |upstream: &Upstream| {
            let known = upstream
                .rate_limit
                .filter(|it| is_relay || !it.is_relayed)?;
            let age = now.saturating_duration_since(known.stated_at);
            let is_due = known.rate.is_some() || age <= END_REPORT_TIME;
            is_due.then(|| RateLimitReport {
                upstream: upstream.id.clone(),
                incarnation: upstream.registration.incarnation,
                rate: known.rate,
                age,
            })
        };
        let mut reports: Vec<RateLimitReport> =
            self.upstreams.values().filter_map(report).collect();
        reports.sort_by_key(|report| report.age);
        reports.truncate(MAX_REPORTS_PER_FRAME);
        reports
    }

    /// Takes the statements that a peer reports and that are newer than the known ones.
    pub(super) fn on_rate_limit_reports(
        &mut self,
        now: Instant,
        reports: &[RateLimitReport],
        out: &mut Outbox,
    ) {
        for report in reports {
            let key = (&report.upstream, report.incarnation, report.age);
            let Some((upstream, stated_at)) = self.reported(now, key) else {
                continue;
            };
            let known = upstream.rate_limit;
            let is_older = known.is_some_and(|known| known.stated_at >= stated_at);
            let is_usable = report
                .rate
                .is_none_or(|rate| rate.is_finite() && rate >= 0.0);
            if is_older || !is_usable {
                continue;
            }
            let statement = RateLimit {
                rate: report.rate,
                stated_at,
                is_relayed: true,
            };
            set_rate_limit(upstream, statement, out);
        }
    }
}

/// Replaces the statement of an upstream, and logs the start and the end of a limit.
fn set_rate_limit(upstream: &mut Upstream, statement: RateLimit, out: &mut Outbox) {
    let was_limited = upstream.stated_rate().is_some();
    upstream.rate_limit = Some(statement);
    match statement.rate {
        Some(rate) if !was_limited => {
            let note = Note::new(&note::UPSTREAM_LIMITED).with("upstream", &upstream.id);
            out.note(
                note.with("rate", rate)
                    .with("relayed", statement.is_relayed),
            );
        }
        None if was_limited => {
            out.note(Note::new(&note::UPSTREAM_UNLIMITED).with("upstream", &upstream.id));
        }
        _ => {}
    }
}
