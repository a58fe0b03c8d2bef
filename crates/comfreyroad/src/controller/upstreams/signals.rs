use super::Upstreams;
use crate::clock::Now;
use crate::event::{Event, Failure, Signal};
use crate::id::{BootId, UpstreamId};
use crate::outbox::Outbox;
use crate::upstream::{Any, Suspicion};

/// HTTP status by which an upstream rejects requests because it is busy.
const BUSY: u16 = 503;

impl Upstreams {
    /// Updates an upstream by a signal of an attempt: a restart, a complete answer or a failure.
    pub(super) fn on_signal(
        &mut self,
        now: Now,
        id: &UpstreamId,
        signal: &Signal,
        out: &mut Outbox,
    ) {
        match signal {
            Signal::Head { status, boot, .. } => {
                if let Some(boot) = boot {
                    self.check_boot(now, id, boot, out);
                }
                let Some(upstream) = self.upstreams.get_mut(id) else {
                    return;
                };
                let backoff = &mut upstream.info_mut().backoff;
                if *status == BUSY {
                    backoff.record_busy(now.instant);
                } else {
                    backoff.reset();
                }
            }
            Signal::End { .. } => self.on_end(now, id, out),
            Signal::Failed(failure) => self.on_failed(now, id, failure, out),
            Signal::Part { .. } => {}
        }
    }

    /// Compares the boot that an answer names with the known one.
    fn check_boot(&mut self, now: Now, id: &UpstreamId, boot: &BootId, out: &mut Outbox) {
        let Some(upstream) = self.upstreams.get_mut(id) else {
            return;
        };
        let info = upstream.info_mut();
        if info.boot.as_ref() == Some(boot) {
            return info.evidence.record_own_sighting(now.instant);
        }
        let is_former = info.evidence.previous_boot.as_ref() == Some(boot);
        let is_suspected = info
            .evidence
            .suspicion
            .as_ref()
            .is_some_and(|doubt| doubt.boot.as_ref() == Some(boot));
        if is_former || is_suspected || info.boot.is_none() {
            return;
        }
        // The start time of the new boot follows with the upstream's next report.
        self.suspect_restart_first_hand(now, id, out);
    }

    fn on_end(&mut self, now: Now, id: &UpstreamId, out: &mut Outbox) {
        let Some(upstream) = self.upstreams.get_mut(id) else {
            return;
        };
        let good = upstream.good_answers().saturating_add(1);
        let info = upstream.info_mut();
        info.allocation.record_end();
        info.backoff.reset();
        if info.boot.is_some() {
            self.credit_good_answers(now, id, good, out);
        }
        out.raise(Event::CapacityFreed);
    }

    fn on_failed(&mut self, now: Now, id: &UpstreamId, failure: &Failure, out: &mut Outbox) {
        let Some(upstream) = self.upstreams.get_mut(id) else {
            return;
        };
        let info = upstream.info_mut();
        info.allocation.record_end();
        if failure.is_busy {
            return info.backoff.record_busy(now.instant);
        }
        info.backoff.record_failure(now.instant);
        self.suspect_restart_first_hand(now, id, out);
    }

    /// Suspects a restart because of an answer to this entry, and warns peers of it.
    fn suspect_restart_first_hand(&mut self, now: Now, id: &UpstreamId, out: &mut Outbox) {
        let was_unsuspected = self
            .upstreams
            .get(id)
            .is_some_and(|it| it.info().boot.is_some());
        self.suspect_restart(now, id, out);
        if was_unsuspected {
            self.digest_queue.push_restart_hint(id);
            self.alert_peers(id, out);
        }
    }

    /// Suspects that an upstream has restarted. It counts as cold, and nothing is sent to it, until a report decides.
    pub(super) fn suspect_restart(&mut self, now: Now, id: &UpstreamId, out: &mut Outbox) {
        let Some(upstream) = self.upstreams.get_mut(id) else {
            return;
        };
        let good = upstream.good_answers();
        let info = upstream.info_mut();
        let earlier = info.evidence.suspicion.take();
        let doubt = Suspicion {
            at: now,
            ..earlier.unwrap_or_else(|| Suspicion {
                boot: info.boot.clone(),
                started_at: info.evidence.started_at,
                good_answers: good,
                at: now,
            })
        };
        info.evidence.last_hint_at = Some(now.instant);
        (info.evidence.suspicion, info.next_poll_at) = (Some(doubt), None);
        info.boot = None;
        self.change(now, id, Any::suspect_restart, out);
        self.poll(now, out);
    }
}
