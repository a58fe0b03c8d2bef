//! Updates of upstreams by the outcome of requests: load reports, latencies and passive health checks.

use std::time::{Duration, Instant};

use super::Upstreams;
use crate::answer;
use crate::id::{Incarnation, ModelId, UpstreamId};
use crate::note::{self, Note};
use crate::outbox::Outbox;
use crate::upstream::{Health, Slot, Upstream};

/// Measured prefill of a prompt, up to the first event of the answer.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Prefill {
    /// Prompt tokens that the upstream processed.
    pub(crate) tokens: u32,
    /// Time from sending the request to the first event.
    pub(crate) latency: Duration,
}

impl Upstreams {
    /// The upstream of a slot, unless it has restarted since.
    pub(super) fn upstream_of(&mut self, slot: &Slot) -> Option<&mut Upstream> {
        let upstream = self.upstreams.get_mut(&slot.upstream)?;
        (upstream.registration.incarnation == slot.incarnation).then_some(upstream)
    }

    /// The upstream that a peer reports on, in the incarnation that the report names, and when the reported event took place.
    pub(super) fn reported(
        &mut self,
        now: Instant,
        (id, incarnation, age): (&UpstreamId, Incarnation, Duration),
    ) -> Option<(&mut Upstream, Instant)> {
        let upstream = self.upstreams.get_mut(id)?;
        let at = now.checked_sub(age)?;
        (upstream.registration.incarnation == incarnation).then_some((upstream, at))
    }

    /// Whether an upstream has reported its load to some entry after an instant, in the given incarnation.
    pub(crate) fn has_answered_after(
        &self,
        id: &UpstreamId,
        incarnation: Incarnation,
        after: Instant,
    ) -> bool {
        let upstream = self.upstreams.get(id);
        upstream.is_some_and(|upstream| {
            upstream.registration.incarnation == incarnation
                && upstream.load.is_some_and(|load| load.reported_at > after)
        })
    }

    /// Takes the load and warm-up reports from the head of an answer.
    pub(crate) fn on_head(&mut self, slot: &Slot, head: &answer::Head) {
        let Some(upstream) = self.upstream_of(slot) else {
            return;
        };
        let own_requests = upstream.open_requests();
        if let Some(load) = head.load {
            upstream.record_load(crate::upstream::Load {
                own_requests,
                ..load
            });
        }
        if head.cold_until.is_some() {
            upstream.cold_until = head.cold_until;
        }
    }

    /// Records the arrival of a stream's first event.
    pub(crate) fn on_first_event(
        &mut self,
        now: Instant,
        slot: &Slot,
        model: Option<&ModelId>,
        prefill: Prefill,
    ) {
        slot.finish_prefill(now);
        let key = (slot.pool.clone(), model.cloned());
        let prefill_speed = self.prefill_speeds.entry(key).or_default();
        prefill_speed.add(now, prefill.tokens, prefill.latency);
        if let Some(upstream) = self.upstream_of(slot) {
            upstream.health.record_success(now);
        }
    }

    /// Records a complete answer: its time per event, or the duration of a plain one, and what is usual in its pool.
    pub(crate) fn on_success(
        &mut self,
        now: Instant,
        slot: &Slot,
        (service_time, usual): (Option<Duration>, Option<Duration>),
    ) {
        let Some(upstream) = self.upstream_of(slot) else {
            return;
        };
        upstream.health.record_success(now);
        let Some(service_time) = service_time else {
            return;
        };
        let work_time = upstream.work_time.factor(now);
        if !upstream.is_engine() {
            upstream.service_time.add(service_time.div_f64(work_time));
        } else if let Some(usual) = usual {
            let factor = service_time.as_secs_f64() / usual.as_secs_f64();
            upstream.pace.add(now, factor / work_time);
        }
    }

    /// Records a failed attempt, which may eject the upstream.
    pub(crate) fn on_failure(&mut self, now: Instant, slot: &Slot, out: &mut Outbox) {
        self.record_failure(now, slot, Health::record_failure, out);
    }

    /// Ejects an upstream that accepts no connections or whose address now belongs to another upstream.
    pub(crate) fn on_unreachable(&mut self, now: Instant, slot: &Slot, out: &mut Outbox) {
        self.record_failure(now, slot, Health::eject, out);
    }

    /// Suspects an upstream and records the failure in its health, which tells whether the upstream is ejected.
    fn record_failure(
        &mut self,
        now: Instant,
        slot: &Slot,
        record: fn(&mut Health, Instant) -> bool,
        out: &mut Outbox,
    ) {
        let Some(upstream) = self.upstream_of(slot) else {
            return;
        };
        if upstream.suspect(now, now) {
            let note = Note::new(&note::UPSTREAM_SUSPECTED).with("upstream", &slot.upstream);
            out.note(note.with("failed_ms_ago", 0));
        }
        if record(&mut upstream.health, now) {
            out.note(Note::new(&note::UPSTREAM_EJECTED).with("upstream", &slot.upstream));
        }
        self.assess_pools(now);
    }
}
