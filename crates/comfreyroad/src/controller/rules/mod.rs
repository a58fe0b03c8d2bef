//! The rules in force, and how recently this entry confirmed that they are the newest.
//!
//! The log orders publishes, and every reader derives the same verdict for each. The confirmation time is the last moment
//! at which this entry's rules were known to be the newest. For an entry that reads the log, it is when it sent a read to
//! which the log answered that nothing newer exists. Otherwise it is when the entry asked a peer, minus the age of the
//! peer's own confirmation. Ages therefore accumulate over several peers, clocks of different machines are never
//! compared, and a delayed answer counts as old.

mod checkpointer;
mod confirmation;
mod fleet;
mod freshness;
mod gossip;
mod outages;
mod peers;
mod reader;

pub use freshness::Freshness;

use std::sync::Arc;
use std::time::Instant;

use indexmap::IndexSet;

use checkpointer::Checkpointer;
use confirmation::Confirmation;
use fleet::Fleet;
use gossip::Gossip;
use outages::Outages;
use reader::Reader;

use super::Controller;
use crate::clock::Now;
use crate::event::{Event, Page};
use crate::frame::Frame;
use crate::id::{Address, Generation, Offset, VersionId, ZoneId};
use crate::mechanism::Mechanism;
use crate::note::{self, Note};
use crate::outbox::Outbox;
use crate::record::{Record, Stream};
use crate::refusal::Code;
use crate::rules::{self, History, InForce, Verdict};
use crate::settings::Settings;

/// Keeps the rules in force and their freshness.
#[derive(Debug)]
pub struct Rules {
    zone: ZoneId,
    history: History,
    in_force: Option<Arc<InForce>>,
    newest_offset: Offset,
    confirmation: Confirmation,
    freshness: Freshness,
    outages: Outages,
    fleet: Fleet,
    reader: Reader,
    gossip: Gossip,
    checkpointer: Checkpointer,
    seed_peers: Vec<Address>,
    // Held versions that were announced to the other controllers.
    announced_held: IndexSet<VersionId>,
    disabled: Vec<Mechanism>,
}

impl Rules {
    pub(super) fn new(settings: &Settings) -> Self {
        Self {
            zone: settings.zone.clone(),
            history: History::default(),
            in_force: None,
            newest_offset: 0,
            confirmation: Confirmation::new(settings.stale_after),
            freshness: Freshness::Stale,
            outages: Outages::new(settings.stale_after),
            fleet: Fleet::default(),
            reader: Reader::new(settings),
            gossip: Gossip::new(settings),
            checkpointer: Checkpointer::new(settings),
            seed_peers: settings.peers.clone(),
            announced_held: IndexSet::new(),
            disabled: settings.disabled.clone(),
        }
    }

    /// The rules in force.
    pub fn in_force(&self) -> Option<&Arc<InForce>> {
        self.in_force.as_ref()
    }

    /// The generation in force; 0 before the first.
    pub fn generation(&self) -> Generation {
        self.in_force.as_ref().map_or(0, |rules| rules.generation)
    }

    /// The last moment at which the rules were known to be the newest.
    pub fn confirmed_at(&self) -> Option<Instant> {
        self.confirmation.at()
    }

    /// Whether this entry keeps a long poll for new rules open at the log.
    pub fn is_reader(&self) -> bool {
        self.reader.is_reader()
    }

    /// Whether the rules are recent enough to accept new work.
    pub fn freshness(&self, now: Now) -> Freshness {
        if !self.confirmation.is_stale(now.instant) || !self.is_enabled(Mechanism::Staleness) {
            return Freshness::Fresh;
        }
        let is_outage_reported = if self.is_enabled(Mechanism::ZoneAgreement) {
            let mut zones = self.fleet.zones();
            self.fleet.is_unpartitioned() && zones.all(|zone| self.outages.has(zone, now.instant))
        } else {
            self.fleet.has_majority()
        };
        // Rules that were never confirmed, or that a peer has newer ones of, need not be the last ones on the log.
        let is_newest =
            self.confirmation.at().is_some() && self.history.next() >= self.newest_offset;
        if is_outage_reported && is_newest {
            Freshness::Outage
        } else {
            Freshness::Stale
        }
    }

    /// The rules in force, if new work may be accepted under them now.
    pub fn for_new_work(&self, now: Now) -> Result<&rules::Rules, Code> {
        let Some(in_force) = &self.in_force else {
            return Err(Code::NotReady);
        };
        if !self.freshness(now).accepts_work() {
            return Err(Code::Stale);
        }
        if in_force.rules.term.is_some_and(|end| end <= now.system) {
            return Err(Code::TermOver);
        }
        Ok(&in_force.rules)
    }

    /// Whether a version is held back as bad.
    pub fn is_held(&self, version: &VersionId) -> bool {
        self.history.held().contains(version)
    }

    /// Whether a customer's request may be sent to a version under the current rules, which may differ from those at its
    /// arrival.
    pub fn may_use(
        &self,
        customer: &rules::Customer,
        version: &rules::Version,
    ) -> Result<(), Code> {
        if !self.is_enabled(Mechanism::SendCheck) {
            return Ok(());
        }
        if version.withdrawn || self.is_held(&version.id) {
            return Err(Code::Withdrawn);
        }
        if !customer.allows(version) {
            return Err(Code::NotAllowed);
        }
        Ok(())
    }

    /// Whether the newest frame came from this peer and was brief, so that the answer is brief as well.
    pub(crate) fn wants_brief_reply(&self, peer: &Address) -> bool {
        self.gossip.wants_brief_reply(peer)
    }

    fn is_enabled(&self, mechanism: Mechanism) -> bool {
        !self.disabled.contains(&mechanism)
    }

    fn on_start(&mut self, now: Now, out: &mut Outbox) {
        // A peer delivers the rules faster than reading all records of the log.
        if let Some(peer) = self.seed_peers.first().cloned() {
            self.gossip.fetch(now.instant, &peer, out);
            self.reader.delay_for_peers(now.instant);
        }
        self.reader.read(now.instant, self.history.next(), out);
    }

    fn on_page(&mut self, now: Now, page: &Page, out: &mut Outbox) {
        let was_known = self.history.is_known();
        if self.is_enabled(Mechanism::GapDetection) {
            self.history.expire(page.oldest);
        }
        for entry in &page.entries {
            let Some(record) = &entry.record else {
                self.history.skip(entry.offset);
                continue;
            };
            let verdict = self.history.feed(entry.offset, entry.at, record);
            Self::log_refusal(verdict, record, out);
        }
        if was_known && !self.history.is_known() {
            out.note(Note::new(&note::RULES_MISSED).with("oldest", page.oldest));
        }
        self.checkpointer.on_page(now.instant, page);
        let is_known = self.history.is_known() || !self.is_enabled(Mechanism::GapDetection);
        if page.is_last() && is_known {
            self.confirmation.confirm(page.requested_at);
            self.apply_history(now, out);
        }
        self.reader.on_answer(now.instant, page.is_last());
        if self.reader.is_reader() || !page.is_last() {
            self.reader.read(now.instant, self.history.next(), out);
        }
    }

    fn log_refusal(verdict: Option<Verdict>, record: &Record, out: &mut Outbox) {
        let Record::Publish { by, after, .. } = record else {
            return;
        };
        let why = match verdict {
            Some(Verdict::Stale { in_force, .. }) => format!("generation {in_force} was in force"),
            Some(Verdict::Faulty(faults)) => format!("{} faults", faults.len()),
            _ => return,
        };
        out.note(
            Note::new(&note::PUBLISH_REFUSED)
                .with("by", by)
                .with("after", after)
                .with("why", why),
        );
    }

    /// Puts the newest rules of the history into force if they are newer, and announces versions that were newly held.
    fn apply_history(&mut self, now: Now, out: &mut Outbox) {
        self.update_freshness(now, out);
        self.put_in_force(out);
        let announced = std::mem::replace(&mut self.announced_held, self.history.held().clone());
        for version in self.history.held().difference(&announced) {
            out.raise(Event::VersionHeld(version.clone()));
        }
    }

    fn put_in_force(&mut self, out: &mut Outbox) {
        let Some(newest) = self.history.in_force() else {
            return;
        };
        if newest.generation <= self.generation() {
            return;
        }
        self.announced_held.clear();
        out.note(
            Note::new(&note::RULES_IN_FORCE)
                .with("generation", newest.generation)
                .with("by", &newest.by),
        );
        let newest = Arc::new(newest.clone());
        self.in_force = Some(Arc::clone(&newest));
        out.raise(Event::InForce(newest));
        if self.is_enabled(Mechanism::RulesGossip) {
            self.gossip.notify(self.fleet.view(), out);
        }
    }

    /// Updates the freshness and announces whether new work may be accepted, if that has changed.
    fn update_freshness(&mut self, now: Now, out: &mut Outbox) {
        let freshness = self.freshness(now);
        let before = std::mem::replace(&mut self.freshness, freshness);
        if before == freshness {
            return;
        }
        if before.accepts_work() != freshness.accepts_work() {
            out.raise(Event::RulesFresh(freshness.accepts_work()));
        }
        let kind = match freshness {
            Freshness::Fresh => &note::RULES_CONFIRMED,
            Freshness::Outage => &note::LOG_OUTAGE,
            Freshness::Stale => &note::RULES_UNCONFIRMED,
        };
        if self.in_force.is_some() {
            out.note(Note::new(kind).with("generation", self.generation()));
        }
    }

    fn on_tick(&mut self, now: Now, out: &mut Outbox) {
        let at = now.instant;
        self.report_outage(at);
        self.update_freshness(now, out);
        if self.reader.is_reader() || self.confirmation.needs_log_read(at) {
            self.reader.read(at, self.history.next(), out);
        }
        if self.confirmation.needs_peer_update(at) && self.is_enabled(Mechanism::RulesGossip) {
            let reader = self.reader.random_other_reader();
            let is_outage_suspected = self.confirmation.is_outage_suspected(at);
            let view = is_outage_suspected.then(|| self.fleet.view());
            self.gossip.request_confirmation(at, reader, view, out);
        }
        if self.freshness == Freshness::Fresh && self.is_enabled(Mechanism::Checkpoints) {
            let snapshot = || self.history.snapshot();
            self.checkpointer
                .write(at, self.fleet.view(), snapshot, out);
        }
    }
}

impl Controller for Rules {
    fn handle(&mut self, now: Now, event: &Event, out: &mut Outbox) {
        match event {
            Event::Started => self.on_start(now, out),
            Event::Read(page) if page.stream == Stream::Rules => self.on_page(now, page, out),
            Event::ReadFailed(Stream::Rules) => self.reader.on_failure(now.instant),
            Event::Peer(frame) => self.on_frame(now, frame, out),
            Event::PeerFailed(peer) => self.gossip.on_failure(peer),
            Event::Members(view) => {
                self.fleet.on_members(view);
                self.reader.on_members(view);
            }
            Event::Vms { vms, .. } => self.fleet.on_vms(vms),
            Event::Tick => self.on_tick(now, out),
            _ => {}
        }
    }

    fn fill(&mut self, now: Now, to: &Address, frame: &mut Frame) {
        frame.rules = self.build_news(now.instant, to);
        self.gossip.number_frame(now.instant, to, frame);
    }
}
