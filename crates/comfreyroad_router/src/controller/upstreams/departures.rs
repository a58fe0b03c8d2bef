//! Upstreams that state in their answers that they are about to leave.
//!
//! Answers the pattern in which an entry that is cut off from the store and its peers has nothing but the answers to learn from.

use std::time::Instant;

use super::Upstreams;
use crate::answer::Statement;
use crate::frame::LeavingReport;
use crate::note::{self, Note};
use crate::outbox::Outbox;
use crate::upstream::{Leaving, Slot, Upstream};

/// Part (1/2) of the time in which all entries must stop sending requests to an upstream that drains, for which one that leaves gets
/// those that no other upstream can take.
const GRACE_DIVISOR: u32 = 2;
/// Maximum number of reports in a frame.
const MAX_REPORTS_PER_FRAME: usize = 128;

impl Upstreams {
    pub(super) fn on_leaving(
        &mut self,
        now: Instant,
        (slot, sent_at): (&Slot, Instant),
        leaving: Statement<()>,
        out: &mut Outbox,
    ) {
        let Some(upstream) = self.upstream_of(slot) else {
            return;
        };
        match leaving {
            Statement::Stated(()) => set_leaving(upstream, now, false, out),
            Statement::Absent if upstream.leaving.is_some_and(|it| it.stated_at <= sent_at) => {
                upstream.leaving = None;
                out.note(Note::new(&note::UPSTREAM_STAYS).with("upstream", &upstream.id));
            }
            Statement::Absent | Statement::Unreadable => {}
        }
    }

    /// Whether an upstream stated so long ago that it leaves that it gets no more requests, even if no other one can take them.
    pub(super) fn has_left(&self, now: Instant, upstream: &Upstream) -> bool {
        let grace = self.drain_propagation / GRACE_DIVISOR;
        upstream
            .leaving
            .is_some_and(|it| it.stated_at + grace <= now)
    }

    /// The statements for a frame. Relays pass on those of other entries; the others send what they have received themselves.
    pub(super) fn leaving_reports(&self, now: Instant) -> Vec<LeavingReport> {
        let is_relay = self.fleet.is_relay(&self.entry);
        let report = |upstream: &Upstream| {
            let leaving = upstream.leaving.filter(|it| is_relay || !it.is_relayed)?;
            Some(LeavingReport {
                upstream: upstream.id.clone(),
                incarnation: upstream.registration.incarnation,
                age: now.saturating_duration_since(leaving.stated_at),
            })
        };
        let reports = self.upstreams.values().filter_map(report);
        reports.take(MAX_REPORTS_PER_FRAME).collect()
    }

    /// Takes the statements that a peer reports.
    pub(super) fn on_leaving_reports(
        &mut self,
        now: Instant,
        reports: &[LeavingReport],
        out: &mut Outbox,
    ) {
        for report in reports {
            let key = (&report.upstream, report.incarnation, report.age);
            if let Some((upstream, stated_at)) = self.reported(now, key) {
                set_leaving(upstream, stated_at, true, out);
            }
        }
    }
}

/// Keeps the first statement of an upstream.
fn set_leaving(upstream: &mut Upstream, stated_at: Instant, is_relayed: bool, out: &mut Outbox) {
    if let Some(known) = &mut upstream.leaving {
        // A statement that this entry has received itself is its own to report.
        known.is_relayed &= is_relayed;
        return;
    }
    upstream.leaving = Some(Leaving {
        stated_at,
        is_relayed,
    });
    let note = Note::new(&note::UPSTREAM_LEAVING).with("upstream", &upstream.id);
    out.note(note.with("relayed", is_relayed));
}
