//! What requests show of upstreams.

use std::time::{Duration, Instant};

use super::Upstreams;
use crate::answer;
use crate::id::ModelId;
use crate::note::{self, Note};
use crate::outbox::Outbox;
use crate::upstream::{Slot, Upstream};

/// The first event of a stream.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FirstEvent {
    /// Tokens that were read before it.
    pub(crate) tokens: u32,
    /// Time since the request was sent.
    pub(crate) latency: Duration,
}

impl Upstreams {
    /// The upstream of a place, if it is still the same start.
    fn of(&mut self, slot: &Slot) -> Option<&mut Upstream> {
        let upstream = self.known.get_mut(&slot.upstream)?;
        (upstream.registration.incarnation == slot.incarnation).then_some(upstream)
    }

    /// The head of an answer came.
    pub(crate) fn on_head(&mut self, slot: &Slot, head: &answer::Head) {
        let Some(upstream) = self.of(slot) else {
            return;
        };
        let own = upstream.open_requests();
        if let Some(load) = head.load {
            upstream.load = Some(crate::upstream::Load {
                own_requests: own,
                ..load
            });
        }
        if head.cold_until.is_some() {
            upstream.cold_until = head.cold_until;
        }
    }

    /// The first event of a stream came.
    pub(crate) fn on_first_event(
        &mut self,
        now: Instant,
        slot: &Slot,
        model: Option<&ModelId>,
        first: FirstEvent,
    ) {
        slot.finish_prefill();
        let key = (slot.pool.clone(), model.cloned());
        let reading = self.readings.entry(key).or_default();
        reading.add(now, first.tokens, first.latency);
        if let Some(upstream) = self.of(slot) {
            upstream.health.record_success(now);
        }
    }

    /// An answer came whole, at a pace: time per event, or the time of a plain answer.
    pub(crate) fn on_success(&mut self, now: Instant, slot: &Slot, pace: Option<Duration>) {
        let Some(upstream) = self.of(slot) else {
            return;
        };
        upstream.health.record_success(now);
        if let Some(pace) = pace {
            upstream.service_time.add(pace);
        }
    }

    /// An attempt failed.
    pub(crate) fn on_failure(&mut self, now: Instant, slot: &Slot, out: &mut Outbox) {
        let Some(upstream) = self.of(slot) else {
            return;
        };
        if upstream.health.record_failure(now) {
            out.note(Note::new(&note::UPSTREAM_EJECTED).with("upstream", &slot.upstream));
        }
    }

    /// The upstream takes no connections, or is another one than it was.
    pub(crate) fn on_unreachable(&mut self, now: Instant, slot: &Slot, out: &mut Outbox) {
        let Some(upstream) = self.of(slot) else {
            return;
        };
        if upstream.health.eject(now) {
            out.note(Note::new(&note::UPSTREAM_EJECTED).with("upstream", &slot.upstream));
        }
    }
}
