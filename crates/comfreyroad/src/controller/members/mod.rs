//! Membership: which entries are live, and which of them may hold slots of starting upstreams.
//!
//! Each entry probes a few random peers in every interval by exchanging frames with them, most of them in its own zone.
//! A peer that does not answer becomes a suspect. The suspicion is gossiped, and the peer refutes it with a newer
//! heartbeat or is removed after a timeout. Only changes are gossiped, so the cost per entry does not grow with the
//! number of entries.

mod connectivity;
mod frames;
mod listing;
mod peer;
mod probes;
mod updates;
mod view;

use std::rc::Rc;
use std::time::{Duration, Instant};

use fastrand::Rng;
use indexmap::{IndexMap, IndexSet};

use super::Controller;
use crate::clock::Now;
use crate::event::Event;
use crate::frame::{Frame, Heartbeat, View};
use crate::id::{Address, EntryId};
use crate::mechanism::Mechanism;
use crate::note::{self, Note};
use crate::outbox::Outbox;
use crate::settings::Settings;
use crate::upstream::{Vm, VmKind};

use connectivity::Connectivity;
use listing::Listing;
use peer::Peer;
use updates::Updates;

/// Time between two probe rounds.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// Time for which the last heartbeat of a removed peer is kept.
const TOMBSTONE_LIFETIME: Duration = Duration::from_secs(60);
/// Maximum number of removed peers whose last heartbeat is kept.
const MAX_TOMBSTONES: usize = 1024;

/// Keeps the live entries as this entry sees them.
#[derive(Debug)]
pub struct Members {
    own_beat: Heartbeat,
    timeout: Duration,
    disabled: Vec<Mechanism>,
    seed_peers: Vec<Address>,
    peers: IndexMap<EntryId, Peer>,
    tombstones: IndexMap<EntryId, (Heartbeat, Instant)>,
    listed: IndexMap<EntryId, Listing>,
    list_received_at: Option<Instant>,
    was_listed: bool,
    updates: Updates,
    connectivity: Connectivity,
    needs_full_sync: bool,
    sync_requesters: IndexSet<Address>,
    view: Rc<View>,
    has_changes: bool,
    next_round_at: Option<Instant>,
    rng: Rng,
}

impl Members {
    pub(super) fn new(settings: &Settings) -> Self {
        let own_beat = Heartbeat::initial(settings);
        let mut view = View::default();
        view.members
            .insert(own_beat.entry.clone(), own_beat.clone());
        Self {
            own_beat,
            timeout: settings.peer_timeout,
            disabled: settings.disabled.clone(),
            seed_peers: settings.peers.clone(),
            peers: IndexMap::new(),
            tombstones: IndexMap::new(),
            listed: IndexMap::new(),
            list_received_at: None,
            was_listed: false,
            updates: Updates::default(),
            connectivity: Connectivity::default(),
            needs_full_sync: true,
            sync_requesters: IndexSet::new(),
            view: Rc::new(view),
            has_changes: false,
            next_round_at: None,
            rng: Rng::with_seed(settings.seed),
        }
    }

    /// The live entries, including this one.
    pub fn view(&self) -> &Rc<View> {
        &self.view
    }

    fn is_enabled(&self, mechanism: Mechanism) -> bool {
        !self.disabled.contains(&mechanism)
    }

    fn on_start(&mut self, now: Now) {
        self.own_beat.started_at = now.system;
        self.announce_self();
    }

    fn on_tick(&mut self, now: Now, out: &mut Outbox) {
        self.remove_expired_suspects(now, out);
        if self.next_round_at.is_none_or(|at| at <= now.instant) {
            self.tombstones.retain(|_, (_, until)| *until > now.instant);
            self.next_round_at = Some(now.instant + PROBE_INTERVAL);
            self.own_beat.sequence += 1;
            self.probe(out);
            self.publish_view(now, out);
        }
    }

    fn remove_expired_suspects(&mut self, now: Now, out: &mut Outbox) {
        if self.peers.values().all(|peer| peer.suspect_until.is_none()) {
            return;
        }
        let lost: Vec<EntryId> = self
            .peers
            .iter()
            .filter(|(_, peer)| peer.suspect_until.is_some_and(|at| at <= now.instant))
            .map(|(entry, _)| entry.clone())
            .collect();
        for entry in &lost {
            self.remove_peer(now, entry, out);
        }
        if !lost.is_empty() {
            self.publish_view(now, out);
        }
    }

    fn remove_peer(&mut self, now: Now, entry: &EntryId, out: &mut Outbox) {
        let Some(peer) = self.peers.swap_remove(entry) else {
            return;
        };
        out.note(Note::new(&note::PEER_LOST).with("peer", entry));
        if let Some(listed) = self.listed.get_mut(entry) {
            listed.last_heard = now.instant;
        }
        if self.tombstones.len() >= MAX_TOMBSTONES {
            self.tombstones.shift_remove_index(0);
        }
        let until = now.instant + TOMBSTONE_LIFETIME;
        self.tombstones.insert(entry.clone(), (peer.beat, until));
    }

    fn on_vms(&mut self, now: Now, vms: &[Vm], out: &mut Outbox) {
        self.list_received_at = Some(now.instant);
        let entries = vms.iter().filter(|vm| vm.kind == VmKind::Entry);
        let mut listed = IndexMap::new();
        for vm in entries {
            let known = self.listed.get(&vm.id);
            let entry = Listing {
                zone: vm.zone.clone(),
                address: vm.address.clone(),
                state: vm.state,
                last_heard: known.map_or(now.instant, |known| known.last_heard),
                has_stopped_serving: known.is_some_and(|known| known.has_stopped_serving),
            };
            listed.insert(vm.id.clone(), entry);
            if let Some(peer) = self.peers.get_mut(&vm.id) {
                peer.was_listed = true;
            }
        }
        self.was_listed |= listed.contains_key(&self.own_beat.entry);
        self.listed = listed;
        self.remove_unlisted_suspects(now, out);
    }

    /// Removes suspects that the VM list no longer contains, without waiting for their timeout.
    fn remove_unlisted_suspects(&mut self, now: Now, out: &mut Outbox) {
        let is_gone = |peer: &Peer| {
            peer.was_listed
                && peer.suspect_until.is_some()
                && !self.listed.contains_key(&peer.beat.entry)
        };
        let gone: Vec<EntryId> = self
            .peers
            .values()
            .filter(|peer| is_gone(peer))
            .map(|peer| peer.beat.entry.clone())
            .collect();
        for entry in gone {
            self.remove_peer(now, &entry, out);
        }
    }

    /// Number of frames in which an update is sent. A multiple of the logarithm of the fleet size is enough for gossip to
    /// reach every entry.
    fn update_transmissions(&self) -> u32 {
        3 * (self.peers.len() as u32 + 2).ilog2()
    }

    fn announce_self(&mut self) {
        self.own_beat.sequence += 1;
        self.updates
            .add(self.own_beat.clone(), self.update_transmissions().max(6));
    }
}

impl Controller for Members {
    fn handle(&mut self, now: Now, event: &Event, out: &mut Outbox) {
        let is_jump = self.connectivity.advance(now.instant, self.timeout / 2);
        if is_jump && self.is_enabled(Mechanism::PauseIsolation) {
            out.note(Note::new(&note::ENTRY_PAUSED));
            self.publish_view(now, out);
        }
        match event {
            Event::Started => {
                self.on_start(now);
                self.publish_view(now, out);
            }
            Event::Tick => self.on_tick(now, out),
            Event::Peer(frame) => {
                self.on_frame(now, frame, out);
                if self.has_changes || self.view.is_isolated {
                    self.publish_view(now, out);
                }
            }
            Event::PeerFailed(address) => self.on_probe_failed(now, address),
            Event::Vms { vms, .. } => {
                self.on_vms(now, vms, out);
                self.publish_view(now, out);
            }
            Event::Phase(phase) => {
                self.own_beat.serving = phase.name() == "serving";
                self.announce_self();
                self.next_round_at = None;
                self.publish_view(now, out);
            }
            _ => {}
        }
    }

    fn fill(&mut self, now: Now, to: &Address, frame: &mut Frame) {
        self.fill_frame(now, to, frame);
    }
}
