//! Membership: the other entries and whether they are live, by gossiped heartbeats.
//!
//! In each gossip round, a relay exchanges frames with a few other relays and forwards the newest heartbeat that it has
//! of each entry; the other entries exchange frames with the relays of their zone in turn. An entry whose heartbeat does
//! not increase for a while is lost. Peers are discovered by the seeds in the settings and by the records that entries
//! write to the store when they start.

mod fleet;
mod member;

use std::rc::Rc;
use std::time::{Duration, Instant};

use comfreyroad::clock::Now;
use fastrand::Rng;
use indexmap::IndexMap;

use self::member::Member;
use super::Controller;
use crate::frame::{Frame, Peer};
use crate::id::{Address, EntryId};
use crate::note::{self, Note};
use crate::outbox::Outbox;
use crate::record::{Content, Record};
use crate::upstream::Stage;
use crate::{Event, Settings};

pub use fleet::Fleet;

/// Time between two gossip rounds. An update takes one round to a relay, two among relays, and two to all other entries.
const ROUND_INTERVAL: Duration = Duration::from_millis(500);
/// Minimum time between two rounds when a relay has an urgent update or a peer did not answer.
const URGENT_ROUND_INTERVAL: Duration = Duration::from_millis(200);
/// Number of relays that a relay contacts in each round.
const FANOUT: usize = 2;
/// Number of rounds between two attempts to reach an entry that is not live.
const RETRY_ROUNDS: u64 = 4;
/// Time without a newer heartbeat after which a peer is lost: the five rounds that a heartbeat may take, and three failed
/// rounds.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(4);
/// Time without a newer heartbeat for which an entry may still be serving requests behind a network partition.
const SERVING_TIMEOUT: Duration = Duration::from_secs(30);
/// Number of entries per zone that is assumed while no other entry is known.
const DEFAULT_ENTRIES_PER_ZONE: usize = 3;

/// Controller of the membership.
#[derive(Debug)]
pub struct Members {
    own: Peer,
    seeds: Vec<Address>,
    default_entries: usize,
    members: IndexMap<EntryId, Member>,
    fleet: Rc<Fleet>,
    round: u64,
    next_round_at: Option<Instant>,
    // The earliest time of the next round if it is urgent.
    urgent_round_at: Option<Instant>,
    rng: Rng,
}

impl Members {
    pub(super) fn new(settings: &Settings) -> Self {
        let mut members = Self {
            own: settings.own.clone(),
            seeds: settings.seeds.clone(),
            default_entries: settings.zone_count.max(1) * DEFAULT_ENTRIES_PER_ZONE,
            members: IndexMap::new(),
            fleet: Rc::default(),
            round: 0,
            next_round_at: None,
            urgent_round_at: None,
            rng: Rng::with_seed(settings.seed),
        };
        members.seeds.retain(|seed| *seed != members.own.address);
        members
    }

    /// The live entries.
    pub fn fleet(&self) -> &Rc<Fleet> {
        &self.fleet
    }

    /// A frame that contains only its sender.
    pub(super) fn empty_frame(&self) -> Frame {
        Frame {
            sender: self.own.clone(),
            store_answer_age: None,
            registration_grace: Duration::ZERO,
            peers: Vec::new(),
            next_offsets: IndexMap::new(),
            records: Vec::new(),
            complete_up_to: IndexMap::new(),
            complete_from: IndexMap::new(),
            rollouts: Vec::new(),
            session_pins: Vec::new(),
            tallies: Vec::new(),
            loads: Vec::new(),
            suspicions: Vec::new(),
            rate_limits: Vec::new(),
            leaving: Vec::new(),
            crashes: Vec::new(),
            answered_parts: Vec::new(),
            usage: Vec::new(),
            zone_usage: Vec::new(),
        }
    }

    fn on_tick(&mut self, now: Instant, out: &mut Outbox) {
        if self.next_round_at.is_some_and(|at| at > now) {
            return;
        }
        self.next_round_at = Some(now + ROUND_INTERVAL);
        self.urgent_round_at = Some(now + URGENT_ROUND_INTERVAL);
        self.round += 1;
        self.own.heartbeat += 1;
        self.check_timeouts(now, out);
        for to in self.targets(now) {
            out.raise(Event::GossipDue { to });
        }
    }

    /// The addresses to contact in this round. A relay contacts other relays chosen at random; another entry contacts one
    /// relay of its zone. In some rounds an entry that is not live or a seed is contacted too.
    fn targets(&mut self, now: Instant) -> Vec<Address> {
        let own = self.own.clone();
        let is_relay = self.fleet.is_relay(&own.entry);
        let others = self.fleet.relays().filter(|it| it.entry != own.entry);
        let relays = others.filter(|it| is_relay || it.zone == own.zone);
        let mut relays: Vec<Address> = relays.map(|it| it.address.clone()).collect();
        let mut targets: Vec<Address> = if is_relay {
            self.rng.shuffle(&mut relays);
            relays.into_iter().take(FANOUT).collect()
        } else {
            let turn = self.round as usize % relays.len().max(1);
            relays.into_iter().skip(turn).take(1).collect()
        };
        let live = self.members.values().filter(|member| member.is_live(now));
        let live: Vec<Address> = live.map(|member| member.peer.address.clone()).collect();
        if live.is_empty() || self.round.is_multiple_of(RETRY_ROUNDS) {
            let lost = self.members.values().filter(|member| !member.is_live(now));
            let lost = lost.map(|member| member.peer.address.clone());
            let seeds = self
                .seeds
                .iter()
                .filter(|seed| !live.contains(seed))
                .cloned();
            let unreached: Vec<Address> = lost.chain(seeds).collect();
            targets.extend(self.rng.choice(unreached));
        }
        targets
    }

    fn check_timeouts(&mut self, now: Instant, out: &mut Outbox) {
        for member in self.members.values_mut() {
            if member.check_timeout(now) {
                out.note(Note::new(&note::PEER_LOST).with("peer", &member.peer.entry));
            }
        }
        self.members.retain(|_, member| member.may_be_serving(now));
        self.update_fleet(now, out);
    }

    fn on_heartbeat(&mut self, now: Instant, peer: &Peer, out: &mut Outbox) {
        if peer.entry == self.own.entry {
            return;
        }
        let member = self.members.entry(peer.entry.clone());
        let member = member.or_insert_with(|| Member::new(now, peer.clone()));
        if member.on_heartbeat(now, peer) {
            let note = Note::new(&note::PEER_JOINED).with("peer", &peer.entry);
            out.note(note.with("zone", &peer.zone));
            self.update_fleet(now, out);
        }
    }

    /// Adds an entry that has registered in the store. It is live only once a heartbeat arrives.
    fn on_registered(&mut self, now: Instant, peer: &Peer, out: &mut Outbox) {
        if peer.entry != self.own.entry && !self.members.contains_key(&peer.entry) {
            let member = Member::new(now, peer.clone());
            self.members.insert(peer.entry.clone(), member);
            self.update_fleet(now, out);
        }
    }

    /// Brings the next round of a relay forward for a record that must reach all entries within a bounded time.
    fn forward_urgently(&mut self, record: &Record) {
        let is_urgent = match &record.content {
            Content::Configuration(_) | Content::Evacuation(_) | Content::Removed => true,
            Content::Upstream(registration) => registration.stage == Stage::Draining,
            _ => false,
        };
        if is_urgent && self.fleet.is_relay(&self.own.entry) {
            self.hasten_round();
        }
    }

    /// Brings the next round forward to the earliest time allowed.
    fn hasten_round(&mut self) {
        self.next_round_at = self.next_round_at.min(self.urgent_round_at);
    }

    /// Announces the fleet if it has changed.
    fn update_fleet(&mut self, now: Instant, out: &mut Outbox) {
        let live = self.members.values().filter(|member| member.is_live(now));
        let live = live.map(|member| &member.peer).chain([&self.own]);
        let entries: Vec<&Peer> = live.collect();
        let possibly_serving = self.members.len() + 1;
        let possibly_serving = if self.members.is_empty() {
            possibly_serving.max(self.default_entries)
        } else {
            possibly_serving
        };
        if !(self.fleet).consists_of(entries.iter().copied(), possibly_serving) {
            let entries = entries.into_iter().cloned().collect();
            self.fleet = Rc::new(Fleet::new(entries, possibly_serving));
            out.raise(Event::FleetChanged(Rc::clone(&self.fleet)));
        }
    }
}

impl Controller for Members {
    fn handle(&mut self, now: Now, event: &Event, out: &mut Outbox) {
        match event {
            Event::Started => self.update_fleet(now.instant, out),
            Event::Tick => self.on_tick(now.instant, out),
            // After a failure the next round contacts another peer.
            Event::PeerFailed(_) | Event::GossipUrgent => self.hasten_round(),
            Event::FrameReceived(frame) => {
                for peer in frame.peers.iter().chain([&frame.sender]) {
                    self.on_heartbeat(now.instant, peer, out);
                }
            }
            Event::RecordLearned(_, record) => {
                self.forward_urgently(record);
                if let Content::Entry(peer) = &record.content {
                    self.on_registered(now.instant, peer, out);
                }
            }
            _ => {}
        }
    }

    fn fill_frame(&mut self, now: Now, _: &Address, frame: &mut Frame) {
        // Only relays forward heartbeats; relays receive those of other entries directly.
        if !self.fleet.is_relay(&self.own.entry) {
            return;
        }
        let live = self
            .members
            .values()
            .filter(|member| member.is_live(now.instant));
        frame.peers.extend(live.map(|member| member.peer.clone()));
    }
}

impl Members {
    /// Time after its last heartbeat for which an entry counts as possibly serving requests.
    pub(super) const SERVING_TIMEOUT: Duration = SERVING_TIMEOUT;
    /// Time after its last heartbeat for which an entry counts as live.
    pub(super) const HEARTBEAT_TIMEOUT: Duration = HEARTBEAT_TIMEOUT;
}
