use super::Upstreams;
use crate::clock::Now;
use crate::event::{Event, Failure, Signal};
use crate::id::{BootId, UpstreamId};
use crate::outbox::Outbox;
use crate::upstream::{Any, Doubt};

/// HTTP status by which an upstream says that it takes no more for now.
const BUSY: u16 = 503;

impl Upstreams {
    /// Learns from an answer: of a new start, of a good end, of a failure.
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
                    self.see_boot(now, id, boot, out);
                }
                let Some(upstream) = self.known.get_mut(id) else {
                    return;
                };
                let pause = &mut upstream.info_mut().pause;
                if *status == BUSY {
                    pause.refuse(now.instant);
                } else {
                    pause.reset();
                }
            }
            Signal::End { .. } => self.on_end(now, id, out),
            Signal::Failed(failure) => self.on_failed(now, id, failure, out),
            Signal::Piece { .. } => {}
        }
    }

    /// An answer names the start that gave it.
    fn see_boot(&mut self, now: Now, id: &UpstreamId, boot: &BootId, out: &mut Outbox) {
        let Some(upstream) = self.known.get_mut(id) else {
            return;
        };
        let info = upstream.info_mut();
        if info.boot.as_ref() == Some(boot) {
            return info.evidence.witness(now.instant);
        }
        let is_past = info.evidence.former.as_ref() == Some(boot);
        let is_doubted = info
            .evidence
            .doubt
            .as_ref()
            .is_some_and(|doubt| doubt.boot.as_ref() == Some(boot));
        if is_past || is_doubted || info.boot.is_none() {
            return;
        }
        // When it started is for its next report to say.
        self.doubt_first_hand(now, id, out);
    }

    fn on_end(&mut self, now: Now, id: &UpstreamId, out: &mut Outbox) {
        let Some(upstream) = self.known.get_mut(id) else {
            return;
        };
        let good = upstream.good().saturating_add(1);
        let info = upstream.info_mut();
        info.share.end();
        info.pause.reset();
        if info.boot.is_some() {
            self.prove(now, id, good, out);
        }
        out.raise(Event::Room);
    }

    fn on_failed(&mut self, now: Now, id: &UpstreamId, failure: &Failure, out: &mut Outbox) {
        let Some(upstream) = self.known.get_mut(id) else {
            return;
        };
        let info = upstream.info_mut();
        info.share.end();
        if failure.busy {
            return info.pause.refuse(now.instant);
        }
        info.pause.fail(now.instant);
        self.doubt_first_hand(now, id, out);
    }

    fn doubt_first_hand(&mut self, now: Now, id: &UpstreamId, out: &mut Outbox) {
        let was_sure = self
            .known
            .get(id)
            .is_some_and(|it| it.info().boot.is_some());
        self.doubt(now, id, out);
        if was_sure {
            self.told.warn(id);
            self.alarm(id, out);
        }
    }

    /// Something hints at a new start: it counts as cold, and nothing is sent, until a report tells.
    pub(super) fn doubt(&mut self, now: Now, id: &UpstreamId, out: &mut Outbox) {
        let Some(upstream) = self.known.get_mut(id) else {
            return;
        };
        let good = upstream.good();
        let info = upstream.info_mut();
        let known = info.evidence.doubt.take();
        let doubt = Doubt {
            at: now,
            ..known.unwrap_or_else(|| Doubt {
                boot: info.boot.clone(),
                born: info.evidence.born,
                good,
                at: now,
            })
        };
        info.evidence.hinted = Some(now.instant);
        (info.evidence.doubt, info.ask_at) = (Some(doubt), None);
        info.boot = None;
        self.change(now, id, Any::doubt, out);
        self.ask(now, out);
    }
}
