//! The upstreams: who lives, how loaded each is, and how much of it this entry may use.
//!
//! Nothing is taken for granted of an upstream that has just started: what it bears is cut into slots, each of which
//! belongs to one entry, and more of them open with each good answer. What is known of an upstream's start travels
//! between entries as digests.

mod cold;
mod digests;
mod list;
mod pick;
mod polls;
mod reports;
mod requirements;
mod signs;

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

/// Keeps the upstreams.
#[derive(Debug)]
pub struct Upstreams {
    own: EntryId,
    zone: ZoneId,
    without: Vec<Mechanism>,
    settle: Duration,
    known: IndexMap<UpstreamId, Any>,
    rules: Option<Arc<InForce>>,
    view: Rc<View>,
    seated: IndexMap<ZoneId, Instant>,
    list_at: Option<Instant>,
    is_usable: bool,
    polls: polls::Polls,
    told: digests::Told,
}

impl Upstreams {
    pub(super) fn new(settings: &Settings) -> Self {
        Self {
            own: settings.entry.clone(),
            zone: settings.zone.clone(),
            without: settings.without.clone(),
            settle: settings.peer_timeout * 2,
            known: IndexMap::new(),
            rules: None,
            view: Rc::default(),
            seated: IndexMap::new(),
            list_at: None,
            is_usable: false,
            polls: polls::Polls::default(),
            told: digests::Told::default(),
        }
    }

    fn has(&self, mechanism: Mechanism) -> bool {
        !self.without.contains(&mechanism)
    }

    /// All upstreams that are known.
    pub fn all(&self) -> impl Iterator<Item = &Any> {
        self.known.values()
    }

    /// Moves an upstream to another stage, says so, and divides its slots anew.
    fn change(
        &mut self,
        now: Now,
        id: &UpstreamId,
        step: impl FnOnce(Any) -> Any,
        out: &mut Outbox,
    ) {
        let Some((index, _, upstream)) = self.known.swap_remove_full(id) else {
            return;
        };
        let before = upstream.stage();
        let basis = (upstream.good(), upstream.info().boot.clone());
        let upstream = step(upstream);
        let after = upstream.stage();
        let has_moved = before != after || basis != (upstream.good(), upstream.info().boot.clone());
        self.known.insert(id.clone(), upstream);
        let last = self.known.len() - 1;
        self.known.swap_indices(index, last);
        if has_moved {
            self.divide(now, id);
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
        self.ask(now, out);
        for upstream in self.known.values_mut() {
            let info = upstream.info_mut();
            info.share.settle(now.instant, info.in_flight.get());
        }
        self.forget_left();
        if !self.is_usable && self.has_usable(now.instant) {
            self.is_usable = true;
            out.raise(Event::Usable);
        }
    }

    /// Whether any upstream can be sent to; slots of starting ones cannot while a new fleet settles.
    fn has_usable(&self, now: Instant) -> bool {
        let pools = self.rules.as_ref().map(|rules| &rules.rules.pools);
        self.known.values().any(|upstream| {
            let pool = pools.and_then(|pools| pools.get(&upstream.info().pool));
            pool.is_some_and(|pool| self.limit(now, upstream, pool) > 0)
        })
    }

    fn count_sent(&mut self, now: Now, id: &UpstreamId) {
        if let Some(upstream) = self.known.get_mut(id) {
            upstream.info_mut().share.send(now.instant);
        }
    }
}

impl Controller for Upstreams {
    fn handle(&mut self, now: Now, event: &Event, out: &mut Outbox) {
        match event {
            Event::Vms { vms, .. } => self.on_vms(now, vms, out),
            Event::Load { upstream, load } => self.on_answer(now, upstream, load.as_ref(), out),
            Event::CacheCleared { upstream, seq } => self.on_cleared(now, upstream, *seq, out),
            Event::Attempt {
                upstream, signal, ..
            } => self.on_signal(now, upstream, signal, out),
            Event::Sent(upstream) => self.count_sent(now, upstream),
            Event::InForce(rules) => {
                self.rules = Some(Arc::clone(rules));
                self.divide_all(now);
            }
            Event::Members(view) => self.on_view(now, view),
            Event::Peer(frame) => {
                self.note_asker(frame);
                self.on_hints(now, &frame.doubts, out);
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
