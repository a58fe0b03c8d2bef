//! The upstreams: which of them are live, how loaded each is, and how much of its capacity this entry may use.
//!
//! The capacity of an upstream that has just started is divided into slots, each of which is owned by one entry. A few
//! slots are open at first, and more open with each good answer. Entries gossip what they know of an upstream as digests.

mod digests;
mod pick;
mod polls;
mod reports;
mod requirements;
mod signals;
mod slots;
mod vm_list;

use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use indexmap::IndexMap;

use super::Controller;
use crate::clock::Now;
use crate::event::Event;
use crate::frame::{Frame, View};
use crate::id::{Address, EntryId, UpstreamId, ZoneId};
use crate::mechanism::Mechanism;
use crate::note::{self, Note};
use crate::outbox::Outbox;
use crate::rules::InForce;
use crate::settings::Settings;
use crate::upstream::Any;

pub use requirements::Requirements;

/// Keeps the upstreams and their state.
#[derive(Debug)]
pub struct Upstreams {
    entry: EntryId,
    zone: ZoneId,
    disabled: Vec<Mechanism>,
    settling_time: Duration,
    upstreams: IndexMap<UpstreamId, Any>,
    rules: Option<Arc<InForce>>,
    view: Rc<View>,
    holders_changed_at: IndexMap<ZoneId, Instant>,
    next_list_at: Option<Instant>,
    was_usable: bool,
    polls: polls::Polls,
    digest_queue: digests::Queue,
}

impl Upstreams {
    pub(super) fn new(settings: &Settings) -> Self {
        Self {
            entry: settings.entry.clone(),
            zone: settings.zone.clone(),
            disabled: settings.disabled.clone(),
            settling_time: settings.peer_timeout * 2,
            upstreams: IndexMap::new(),
            rules: None,
            view: Rc::default(),
            holders_changed_at: IndexMap::new(),
            next_list_at: None,
            was_usable: false,
            polls: polls::Polls::default(),
            digest_queue: digests::Queue::default(),
        }
    }

    fn is_enabled(&self, mechanism: Mechanism) -> bool {
        !self.disabled.contains(&mechanism)
    }

    /// All known upstreams.
    pub fn all(&self) -> impl Iterator<Item = &Any> {
        self.upstreams.values()
    }

    /// Applies a life cycle step to an upstream, logs a change of its stage, and reassigns its slots if they may differ.
    fn change(
        &mut self,
        now: Now,
        id: &UpstreamId,
        step: impl FnOnce(Any) -> Any,
        out: &mut Outbox,
    ) {
        let Some((index, _, upstream)) = self.upstreams.swap_remove_full(id) else {
            return;
        };
        let before = upstream.stage();
        let slot_inputs = (upstream.good_answers(), upstream.info().boot.clone());
        let upstream = step(upstream);
        let after = upstream.stage();
        let has_changed = before != after
            || slot_inputs != (upstream.good_answers(), upstream.info().boot.clone());
        self.upstreams.insert(id.clone(), upstream);
        let last = self.upstreams.len() - 1;
        self.upstreams.swap_indices(index, last);
        if has_changed {
            self.assign_slots(now, id);
        }
        let kind = match after {
            "cold" => &note::UPSTREAM_COLD,
            "warm" => &note::UPSTREAM_WARM,
            "leaving" => &note::UPSTREAM_LEAVING,
            _ => return,
        };
        if before != after {
            out.note(Note::new(kind).with("upstream", id));
        }
    }

    fn on_tick(&mut self, now: Now, out: &mut Outbox) {
        self.poll(now, out);
        for upstream in self.upstreams.values_mut() {
            let info = upstream.info_mut();
            info.allocation
                .expire_cancelled(now.instant, info.in_flight.get());
        }
        self.remove_departed();
        if !self.was_usable && self.has_usable(now.instant) {
            self.was_usable = true;
            out.raise(Event::UpstreamUsable);
        }
    }

    /// Whether requests can be sent to any upstream. Slots of starting upstreams are unusable until ownership has settled.
    fn has_usable(&self, now: Instant) -> bool {
        let pools = self.rules.as_ref().map(|rules| &rules.rules.pools);
        self.upstreams.values().any(|upstream| {
            let pool = pools.and_then(|pools| pools.get(&upstream.info().pool));
            pool.is_some_and(|pool| self.limit(now, upstream, pool) > 0)
        })
    }

    fn count_sent(&mut self, now: Now, id: &UpstreamId) {
        if let Some(upstream) = self.upstreams.get_mut(id) {
            upstream.info_mut().allocation.record_send(now.instant);
        }
    }
}

impl Controller for Upstreams {
    fn handle(&mut self, now: Now, event: &Event, out: &mut Outbox) {
        match event {
            Event::Vms { vms, .. } => self.on_vms(now, vms, out),
            Event::Load { upstream, load } => self.on_load(now, upstream, load.as_ref(), out),
            Event::CacheCleared { upstream, seq } => self.on_cleared(now, upstream, *seq, out),
            Event::Attempt {
                upstream, signal, ..
            } => self.on_signal(now, upstream, signal, out),
            Event::RequestSent(upstream) => self.count_sent(now, upstream),
            Event::InForce(rules) => {
                self.rules = Some(Arc::clone(rules));
                self.assign_all_slots(now);
            }
            Event::Members(view) => self.on_members(now, view),
            Event::Peer(frame) => {
                self.note_sync_request(frame);
                self.on_restart_hints(now, &frame.suspected_restarts, out);
                self.on_digests(now, &frame.digests, out);
            }
            Event::Tick => self.on_tick(now, out),
            _ => {}
        }
    }

    fn fill(&mut self, now: Now, to: &Address, frame: &mut Frame) {
        self.fill_digests(now, to, frame);
    }
}
