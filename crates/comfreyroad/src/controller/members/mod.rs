//! The other entries: who lives, and who may hold slots of starting upstreams.
//!
//! Each entry probes a few peers in each period by exchanging frames with them, most of them in its own zone. One that
//! does not answer is suspected; the suspicion travels as news, and the peer answers it with a newer heartbeat or is
//! lost after a timeout. Only news is passed on, so the cost for each entry does not grow with the fleet.

mod contact;
mod frames;
mod heard;
mod listed;
mod probes;
mod rumours;
mod seats;

use std::rc::Rc;
use std::time::{Duration, Instant};

use fastrand::Rng;
use indexmap::{IndexMap, IndexSet};

use super::Controller;
use crate::clock::Now;
use crate::event::Event;
use crate::frame::{Beat, Frame, View};
use crate::id::{Address, EntryId};
use crate::mechanism::Mechanism;
use crate::note::{self, Note};
use crate::outbox::Outbox;
use crate::settings::Settings;
use crate::upstream::{Vm, VmKind};

use contact::Contact;
use heard::Heard;
use listed::Listed;
use rumours::Rumours;

/// Time between two rounds of probes.
const PERIOD: Duration = Duration::from_millis(500);
/// Time for which a lost peer's last heartbeat is remembered.
const TOMBSTONE: Duration = Duration::from_secs(60);
/// Lost peers remembered at most.
const TOMBSTONES: usize = 1024;

/// The live entries, as this one sees them.
#[derive(Debug)]
pub struct Members {
    own: Beat,
    timeout: Duration,
    without: Vec<Mechanism>,
    seeds: Vec<Address>,
    heard: IndexMap<EntryId, Heard>,
    lost: IndexMap<EntryId, (Beat, Instant)>,
    listed: IndexMap<EntryId, Listed>,
    list_at: Option<Instant>,
    was_listed: bool,
    rumours: Rumours,
    contact: Contact,
    wants_all: bool,
    askers: IndexSet<Address>,
    view: Rc<View>,
    has_news: bool,
    next_round: Option<Instant>,
    rng: Rng,
}

impl Members {
    pub(super) fn new(settings: &Settings) -> Self {
        let own = Beat::first(settings);
        let mut view = View::default();
        view.members.insert(own.entry.clone(), own.clone());
        Self {
            own,
            timeout: settings.peer_timeout,
            without: settings.without.clone(),
            seeds: settings.peers.clone(),
            heard: IndexMap::new(),
            lost: IndexMap::new(),
            listed: IndexMap::new(),
            list_at: None,
            was_listed: false,
            rumours: Rumours::default(),
            contact: Contact::default(),
            wants_all: true,
            askers: IndexSet::new(),
            view: Rc::new(view),
            has_news: false,
            next_round: None,
            rng: Rng::with_seed(settings.seed),
        }
    }

    /// The live entries, this one among them.
    pub fn view(&self) -> &Rc<View> {
        &self.view
    }

    fn has(&self, mechanism: Mechanism) -> bool {
        !self.without.contains(&mechanism)
    }

    fn on_start(&mut self, now: Now) {
        self.own.born = now.system;
        self.spread_own();
    }

    fn on_tick(&mut self, now: Now, out: &mut Outbox) {
        self.drop_lost(now, out);
        if self.next_round.is_none_or(|at| at <= now.instant) {
            self.lost.retain(|_, (_, until)| *until > now.instant);
            self.next_round = Some(now.instant + PERIOD);
            self.own.count += 1;
            self.probe(out);
            self.publish(now, out);
        }
    }

    fn drop_lost(&mut self, now: Now, out: &mut Outbox) {
        if self.heard.values().all(|heard| heard.lost_at.is_none()) {
            return;
        }
        let lost: Vec<EntryId> = self
            .heard
            .iter()
            .filter(|(_, heard)| heard.lost_at.is_some_and(|at| at <= now.instant))
            .map(|(entry, _)| entry.clone())
            .collect();
        for entry in &lost {
            self.lose(now, entry, out);
        }
        if !lost.is_empty() {
            self.publish(now, out);
        }
    }

    fn lose(&mut self, now: Now, entry: &EntryId, out: &mut Outbox) {
        let Some(heard) = self.heard.swap_remove(entry) else {
            return;
        };
        out.note(Note::new(&note::PEER_LOST).with("peer", entry));
        if let Some(listed) = self.listed.get_mut(entry) {
            listed.heard = now.instant;
        }
        if self.lost.len() >= TOMBSTONES {
            self.lost.shift_remove_index(0);
        }
        let until = now.instant + TOMBSTONE;
        self.lost.insert(entry.clone(), (heard.beat, until));
    }

    fn on_vms(&mut self, now: Now, vms: &[Vm], out: &mut Outbox) {
        self.list_at = Some(now.instant);
        let entries = vms.iter().filter(|vm| vm.kind == VmKind::Entry);
        let mut listed = IndexMap::new();
        for vm in entries {
            let known = self.listed.get(&vm.id);
            let entry = Listed {
                zone: vm.zone.clone(),
                address: vm.address.clone(),
                state: vm.state,
                heard: known.map_or(now.instant, |known| known.heard),
                has_left: known.is_some_and(|known| known.has_left),
            };
            listed.insert(vm.id.clone(), entry);
            if let Some(heard) = self.heard.get_mut(&vm.id) {
                heard.was_listed = true;
            }
        }
        self.was_listed |= listed.contains_key(&self.own.entry);
        self.listed = listed;
        self.drop_unlisted(now, out);
    }

    /// A peer that is suspected, and that the list names no longer, is gone.
    fn drop_unlisted(&mut self, now: Now, out: &mut Outbox) {
        let is_gone = |heard: &Heard| {
            heard.was_listed
                && heard.lost_at.is_some()
                && !self.listed.contains_key(&heard.beat.entry)
        };
        let gone: Vec<EntryId> = self
            .heard
            .values()
            .filter(|heard| is_gone(heard))
            .map(|heard| heard.beat.entry.clone())
            .collect();
        for entry in gone {
            self.lose(now, &entry, out);
        }
    }

    /// Rumours are told often enough to reach everyone, and no more often.
    fn times(&self) -> u32 {
        3 * (self.heard.len() as u32 + 2).ilog2()
    }

    fn spread_own(&mut self) {
        self.own.count += 1;
        self.rumours.add(self.own.clone(), self.times().max(6));
    }
}

impl Controller for Members {
    fn handle(&mut self, now: Now, event: &Event, out: &mut Outbox) {
        let is_jump = self.contact.advance(now.instant, self.timeout / 2);
        if is_jump && self.has(Mechanism::PauseVoid) {
            out.note(Note::new(&note::PAUSED));
            self.publish(now, out);
        }
        match event {
            Event::Started => {
                self.on_start(now);
                self.publish(now, out);
            }
            Event::Tick => self.on_tick(now, out),
            Event::Peer(frame) => {
                self.on_frame(now, frame, out);
                if self.has_news || self.view.is_void {
                    self.publish(now, out);
                }
            }
            Event::PeerFailed(address) => self.on_failure(now, address),
            Event::Vms { vms, .. } => {
                self.on_vms(now, vms, out);
                self.publish(now, out);
            }
            Event::Phase(phase) => {
                self.own.serving = phase.name() == "serving";
                self.spread_own();
                self.next_round = None;
                self.publish(now, out);
            }
            _ => {}
        }
    }

    fn fill(&mut self, now: Now, to: &Address, frame: &mut Frame) {
        self.fill_frame(now, to, frame);
    }
}
