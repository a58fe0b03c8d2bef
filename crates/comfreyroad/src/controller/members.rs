//! The other entries: who lives, by heartbeats that each passes on.

use std::rc::Rc;
use std::time::{Duration, Instant};

use fastrand::Rng;
use indexmap::IndexMap;

use super::Controller;
use crate::clock::Now;
use crate::event::Event;
use crate::frame::{Beat, Frame, View};
use crate::id::{Address, EntryId};
use crate::note::{self, Note};
use crate::outbox::Outbox;
use crate::settings::Settings;
use crate::upstream::{Vm, VmKind, VmState};

/// Time between two heartbeats.
const PERIOD: Duration = Duration::from_millis(500);
/// Peers told in each period.
const FANOUT: usize = 3;
/// Heartbeats in one frame at most.
const BEATS: usize = 32;

/// The live entries, as this one sees them.
#[derive(Debug)]
pub struct Members {
    own: Beat,
    timeout: Duration,
    seeds: Vec<Address>,
    heard: IndexMap<EntryId, Heard>,
    view: Rc<View>,
    next_beat: Option<Instant>,
    rng: Rng,
}

/// The newest heartbeat of a peer.
#[derive(Debug)]
struct Heard {
    beat: Beat,
    until: Instant,
}

impl Members {
    pub(super) fn new(settings: &Settings) -> Self {
        let own = Beat {
            entry: settings.entry.clone(),
            boot: settings.boot.clone(),
            zone: settings.zone.clone(),
            address: settings.address.clone(),
            count: 0,
            serving: false,
        };
        let mut view = View::default();
        view.members.insert(own.entry.clone(), own.clone());
        Self {
            own,
            timeout: settings.peer_timeout,
            seeds: settings.peers.clone(),
            heard: IndexMap::new(),
            view: Rc::new(view),
            next_beat: None,
            rng: Rng::with_seed(settings.seed),
        }
    }

    /// The live entries, this one among them.
    pub fn view(&self) -> &Rc<View> {
        &self.view
    }

    fn on_frame(&mut self, now: Now, frame: &Frame, out: &mut Outbox) {
        let mut changed = false;
        for beat in &frame.beats {
            changed |= self.hear(now, beat, out);
        }
        if changed {
            self.publish(out);
        }
    }

    /// Takes a heartbeat; says whether the view changes by it.
    fn hear(&mut self, now: Now, beat: &Beat, out: &mut Outbox) -> bool {
        if beat.entry == self.own.entry {
            return false;
        }
        let until = now.instant + self.timeout;
        let Some(known) = self.heard.get_mut(&beat.entry) else {
            out.note(
                Note::new(&note::PEER_JOINED)
                    .with("peer", &beat.entry)
                    .with("zone", &beat.zone),
            );
            self.heard.insert(
                beat.entry.clone(),
                Heard {
                    beat: beat.clone(),
                    until,
                },
            );
            return true;
        };
        let same_start = known.beat.boot == beat.boot;
        if same_start && beat.count <= known.beat.count {
            return false;
        }
        let changed = !same_start || known.beat.serving != beat.serving;
        *known = Heard {
            beat: beat.clone(),
            until,
        };
        changed
    }

    fn on_tick(&mut self, now: Now, out: &mut Outbox) {
        let before = self.heard.len();
        self.heard.retain(|entry, heard| {
            let lives = heard.until > now.instant;
            if !lives {
                out.note(Note::new(&note::PEER_LOST).with("peer", entry));
            }
            lives
        });
        if self.heard.len() != before {
            self.publish(out);
        }
        if self.next_beat.is_none_or(|at| at <= now.instant) {
            self.next_beat = Some(now.instant + PERIOD);
            self.own.count += 1;
            self.tell(out);
        }
    }

    /// Raises a frame for a few peers, chosen at random.
    fn tell(&mut self, out: &mut Outbox) {
        let known = self.heard.values().map(|heard| heard.beat.address.clone());
        let mut addresses: Vec<Address> = known.chain(self.seeds.iter().cloned()).collect();
        addresses.sort();
        addresses.dedup();
        addresses.retain(|address| *address != self.own.address);
        self.rng.shuffle(&mut addresses);
        for to in addresses.into_iter().take(FANOUT) {
            out.raise(Event::Gossip { to });
        }
    }

    fn on_vms(&mut self, vms: &[Vm]) {
        let live = vms
            .iter()
            .filter(|vm| vm.kind == VmKind::Entry && vm.state == VmState::Live);
        for vm in live {
            if !self.seeds.contains(&vm.address) {
                self.seeds.push(vm.address.clone());
            }
        }
    }

    fn publish(&mut self, out: &mut Outbox) {
        let mut view = View::default();
        view.members
            .insert(self.own.entry.clone(), self.own.clone());
        for heard in self.heard.values() {
            view.members
                .insert(heard.beat.entry.clone(), heard.beat.clone());
        }
        view.members.sort_unstable_keys();
        self.view = Rc::new(view);
        out.raise(Event::Members(Rc::clone(&self.view)));
    }
}

impl Controller for Members {
    fn handle(&mut self, now: Now, event: &Event, out: &mut Outbox) {
        match event {
            Event::Started => self.publish(out),
            Event::Tick => self.on_tick(now, out),
            Event::Peer(frame) => self.on_frame(now, frame, out),
            Event::Vms { vms, .. } => self.on_vms(vms),
            Event::Phase(phase) => {
                self.own.serving = phase.name() == "serving";
                self.own.count += 1;
                self.publish(out);
            }
            _ => {}
        }
    }

    fn fill(&mut self, _: Now, _: &Address, frame: &mut Frame) {
        frame.beats.push(self.own.clone());
        let mut others: Vec<&Heard> = self.heard.values().collect();
        self.rng.shuffle(&mut others);
        frame.beats.extend(
            others
                .into_iter()
                .take(BEATS)
                .map(|heard| heard.beat.clone()),
        );
    }
}
