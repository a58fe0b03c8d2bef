//! The other entries: who lives, by heartbeats that are gossiped.
//!
//! In each period the relays exchange frames with a few others and pass on the newest heartbeat that they have of each
//! entry; every other entry exchanges with the relays of its zone in turn. Whose heartbeat does not rise for a while is lost. Peers are found by the seeds of the settings and by what entries
//! register in the store when they start.

mod fleet;
mod known;

use std::rc::Rc;
use std::time::{Duration, Instant};

use comfreyroad::clock::Now;
use fastrand::Rng;
use indexmap::IndexMap;

use self::known::Known;
use super::Controller;
use crate::frame::{Frame, Peer};
use crate::id::{Address, EntryId};
use crate::note::{self, Note};
use crate::outbox::Outbox;
use crate::record::{Content, Record};
use crate::upstream::UpstreamStage;
use crate::{Event, Settings};

pub use fleet::Fleet;

/// Time between two rounds of gossip. News takes a round to a relay, two among relays, and two back to all entries.
const PERIOD: Duration = Duration::from_millis(500);
/// Least time between two rounds, where a relay has urgent news or a peer did not answer.
const URGENT_PERIOD: Duration = Duration::from_millis(200);
/// Relays that a relay's round of gossip goes to.
const FANOUT: usize = 2;
/// Rounds of gossip between two tries to reach an entry that is not live.
const RETRY_ROUNDS: u64 = 4;
/// Time without a newer heartbeat after which a peer is lost: the five rounds that it may take, and three that fail.
const TIMEOUT: Duration = Duration::from_secs(4);
/// Time for which an entry that is not heard may still be serving behind a partition.
const POSSIBLE: Duration = Duration::from_secs(30);
/// Entries of each zone that are assumed while none is known.
const ASSUMED_PER_ZONE: usize = 3;

/// Keeps the entries.
#[derive(Debug)]
pub struct Members {
    own: Peer,
    seeds: Vec<Address>,
    assumed: usize,
    known: IndexMap<EntryId, Known>,
    fleet: Rc<Fleet>,
    round: u64,
    next_round: Option<Instant>,
    // When the next round may be brought forward to.
    urgent_from: Option<Instant>,
    rng: Rng,
}

impl Members {
    pub(super) fn new(settings: &Settings) -> Self {
        let mut members = Self {
            own: settings.own.clone(),
            seeds: settings.seeds.clone(),
            assumed: settings.zone_count.max(1) * ASSUMED_PER_ZONE,
            known: IndexMap::new(),
            fleet: Rc::default(),
            round: 0,
            next_round: None,
            urgent_from: None,
            rng: Rng::with_seed(settings.seed),
        };
        members.seeds.retain(|seed| *seed != members.own.address);
        members
    }

    /// The live entries.
    pub fn fleet(&self) -> &Rc<Fleet> {
        &self.fleet
    }

    /// A frame that names its sender only.
    pub(super) fn empty_frame(&self) -> Frame {
        Frame {
            sender: self.own.clone(),
            store_answer_age: None,
            registration_grace: Duration::ZERO,
            peers: Vec::new(),
            next_offsets: IndexMap::new(),
            records: Vec::new(),
            complete_up_to: IndexMap::new(),
            rollouts: Vec::new(),
            session_pins: Vec::new(),
            tallies: Vec::new(),
        }
    }

    fn on_tick(&mut self, now: Instant, out: &mut Outbox) {
        if self.next_round.is_some_and(|at| at > now) {
            return;
        }
        self.next_round = Some(now + PERIOD);
        self.urgent_from = Some(now + URGENT_PERIOD);
        self.round += 1;
        self.own.heartbeat += 1;
        self.forget(now, out);
        for to in self.targets(now) {
            out.raise(Event::GossipDue { to });
        }
    }

    /// For a relay, other relays chosen at random; for others, a relay of the zone. At times also one that is not live.
    fn targets(&mut self, now: Instant) -> Vec<Address> {
        let own = self.own.clone();
        let is_relay = self.fleet.is_relay(&own.entry);
        let others = self.fleet.relays().filter(|it| it.entry != own.entry);
        let near = others.filter(|it| is_relay || it.zone == own.zone);
        let mut near: Vec<Address> = near.map(|it| it.address.clone()).collect();
        let mut targets: Vec<Address> = if is_relay {
            self.rng.shuffle(&mut near);
            near.into_iter().take(FANOUT).collect()
        } else {
            let turn = self.round as usize % near.len().max(1);
            near.into_iter().skip(turn).take(1).collect()
        };
        let live = self.known.values().filter(|known| known.is_live(now));
        let live: Vec<Address> = live.map(|known| known.peer.address.clone()).collect();
        if live.is_empty() || self.round.is_multiple_of(RETRY_ROUNDS) {
            let silent = self.known.values().filter(|known| !known.is_live(now));
            let silent = silent.map(|known| known.peer.address.clone());
            let seeds = self
                .seeds
                .iter()
                .filter(|seed| !live.contains(seed))
                .cloned();
            let others: Vec<Address> = silent.chain(seeds).collect();
            targets.extend(self.rng.choice(others));
        }
        targets
    }

    fn forget(&mut self, now: Instant, out: &mut Outbox) {
        for known in self.known.values_mut() {
            if known.lose(now) {
                out.note(Note::new(&note::PEER_LOST).with("peer", &known.peer.entry));
            }
        }
        self.known.retain(|_, known| known.is_possible(now));
        self.publish(now, out);
    }

    fn hear(&mut self, now: Instant, peer: &Peer, out: &mut Outbox) {
        if peer.entry == self.own.entry {
            return;
        }
        let known = self.known.entry(peer.entry.clone());
        let known = known.or_insert_with(|| Known::new(now, peer.clone()));
        if known.hear(now, peer) {
            let note = Note::new(&note::PEER_JOINED).with("peer", &peer.entry);
            out.note(note.with("zone", &peer.zone));
            self.publish(now, out);
        }
    }

    /// An entry has registered in the store; whether it lives is to be seen.
    fn list(&mut self, now: Instant, peer: &Peer, out: &mut Outbox) {
        if peer.entry != self.own.entry && !self.known.contains_key(&peer.entry) {
            let known = Known::new(now, peer.clone());
            self.known.insert(peer.entry.clone(), known);
            self.publish(now, out);
        }
    }

    /// A relay passes on early what bounds the time in which all entries must know it.
    fn pass_on(&mut self, record: &Record) {
        let is_urgent = match &record.content {
            Content::Configuration(_) | Content::Evacuation(_) | Content::Removed => true,
            Content::Upstream(registration) => registration.stage == UpstreamStage::Draining,
            _ => false,
        };
        if is_urgent && self.fleet.is_relay(&self.own.entry) {
            self.hasten();
        }
    }

    fn hasten(&mut self) {
        self.next_round = self.next_round.min(self.urgent_from);
    }

    fn publish(&mut self, now: Instant, out: &mut Outbox) {
        let live = self.known.values().filter(|known| known.is_live(now));
        let mut entries: Vec<Peer> = live.map(|known| known.peer.clone()).collect();
        entries.push(self.own.clone());
        let possible = self.known.len() + 1;
        let possible = if self.known.is_empty() {
            possible.max(self.assumed)
        } else {
            possible
        };
        let fleet = Fleet::new(entries, possible);
        if !fleet.has_same_members(&self.fleet) {
            self.fleet = Rc::new(fleet);
            out.raise(Event::FleetChanged(Rc::clone(&self.fleet)));
        }
    }
}

impl Controller for Members {
    fn handle(&mut self, now: Now, event: &Event, out: &mut Outbox) {
        match event {
            Event::Started => self.publish(now.instant, out),
            Event::Tick => self.on_tick(now.instant, out),
            // The next one in turn is asked soon.
            Event::PeerFailed(_) => self.hasten(),
            Event::FrameReceived(frame) => {
                for peer in frame.peers.iter().chain([&frame.sender]) {
                    self.hear(now.instant, peer, out);
                }
            }
            Event::RecordLearned(_, record) => {
                self.pass_on(record);
                if let Content::Entry(peer) = &record.content {
                    self.list(now.instant, peer, out);
                }
            }
            _ => {}
        }
    }

    fn fill_frame(&mut self, now: Now, _: &Address, frame: &mut Frame) {
        // Relays hear of the others by themselves.
        if !self.fleet.is_relay(&self.own.entry) {
            return;
        }
        let live = self
            .known
            .values()
            .filter(|known| known.is_live(now.instant));
        frame.peers.extend(live.map(|known| known.peer.clone()));
    }
}

impl Members {
    /// Time for which an entry counts as possibly serving after it was last heard.
    pub(super) const POSSIBLE: Duration = POSSIBLE;
    /// Time after its last heartbeat for which an entry counts as live.
    pub(super) const TIMEOUT: Duration = TIMEOUT;
}
