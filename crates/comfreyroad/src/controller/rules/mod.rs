//! The rules in force, and how sure this entry is that they are the newest.
//!
//! The log orders publishes and every reader comes to the same verdict. `confirmed` is the last moment at which this
//! entry's rules were known to be the newest: the moment a question was sent to which the log answered "nothing newer",
//! or the moment a peer was asked less the age of such a moment there. So the ages add up, no two clocks are compared,
//! and an answer that comes late counts as old.

mod checkpoint;
mod confirmation;
mod doubts;
mod fleet;
mod freshness;
mod peers;
mod reader;
mod spread;

pub use freshness::Freshness;

use std::sync::Arc;
use std::time::Instant;

use indexmap::IndexSet;

use checkpoint::Checkpoint;
use confirmation::Confirmation;
use doubts::Doubts;
use fleet::Fleet;
use reader::Reader;
use spread::Spread;

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

/// Keeps the rules.
#[derive(Debug)]
pub struct Rules {
    zone: ZoneId,
    history: History,
    in_force: Option<Arc<InForce>>,
    newest: Offset,
    confirmation: Confirmation,
    freshness: Freshness,
    doubts: Doubts,
    fleet: Fleet,
    reader: Reader,
    spread: Spread,
    checkpoint: Checkpoint,
    seeds: Vec<Address>,
    // Versions that the others were told are held.
    held: IndexSet<VersionId>,
    without: Vec<Mechanism>,
}

impl Rules {
    pub(super) fn new(settings: &Settings) -> Self {
        Self {
            zone: settings.zone.clone(),
            history: History::default(),
            in_force: None,
            newest: 0,
            confirmation: Confirmation::new(settings.stale_after),
            freshness: Freshness::Stale,
            doubts: Doubts::new(settings.stale_after),
            fleet: Fleet::default(),
            reader: Reader::new(settings),
            spread: Spread::new(settings),
            checkpoint: Checkpoint::new(settings),
            seeds: settings.peers.clone(),
            held: IndexSet::new(),
            without: settings.without.clone(),
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

    /// Whether this entry keeps a question for new rules open at the log.
    pub fn is_reader(&self) -> bool {
        self.reader.is_reader()
    }

    /// How sure this entry is that its rules are the newest.
    pub fn freshness(&self, now: Now) -> Freshness {
        if !self.confirmation.is_stale(now.instant) || !self.has(Mechanism::Staleness) {
            return Freshness::Fresh;
        }
        let is_word_given = if self.has(Mechanism::EveryZone) {
            let mut zones = self.fleet.zones();
            self.fleet.is_whole() && zones.all(|zone| self.doubts.has(zone, now.instant))
        } else {
            self.fleet.is_mostly_heard()
        };
        // What was never confirmed, or is behind a peer, is not what the log held last.
        let is_last = self.confirmation.at().is_some() && self.history.next() >= self.newest;
        if is_word_given && is_last {
            Freshness::Outage
        } else {
            Freshness::Stale
        }
    }

    /// The rules by which new work may be taken now.
    pub fn for_new_work(&self, now: Now) -> Result<&rules::Rules, Code> {
        let Some(in_force) = &self.in_force else {
            return Err(Code::NotReady);
        };
        if !self.freshness(now).takes_work() {
            return Err(Code::Stale);
        }
        if in_force.rules.term.is_some_and(|end| end <= now.system) {
            return Err(Code::TermOver);
        }
        Ok(&in_force.rules)
    }

    /// Whether a version is withheld.
    pub fn is_held(&self, version: &VersionId) -> bool {
        self.history.held().contains(version)
    }

    /// Whether a customer's request may go to a version now, whatever held when it arrived.
    pub fn may_use(
        &self,
        customer: &rules::Customer,
        version: &rules::Version,
    ) -> Result<(), Code> {
        if !self.has(Mechanism::SendCheck) {
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

    /// Whether the newest frame of a peer spoke of the rules only, so that the answer does as well.
    pub(crate) fn wants_brief_reply(&self, peer: &Address) -> bool {
        self.spread.wants_brief_reply(peer)
    }

    fn has(&self, mechanism: Mechanism) -> bool {
        !self.without.contains(&mechanism)
    }

    fn on_start(&mut self, now: Now, out: &mut Outbox) {
        // Whoever knows the rules tells them sooner than all records of the log do.
        if let Some(peer) = self.seeds.first().cloned() {
            self.spread.fetch(now.instant, &peer, out);
            self.reader.wait_for_peers(now.instant);
        }
        self.reader.read(now.instant, self.history.next(), out);
    }

    fn on_page(&mut self, now: Now, page: &Page, out: &mut Outbox) {
        let was_known = self.history.is_known();
        if self.has(Mechanism::Gaps) {
            self.history.expire(page.oldest);
        }
        for entry in &page.entries {
            let Some(record) = &entry.record else {
                self.history.skip(entry.offset);
                continue;
            };
            let verdict = self.history.feed(entry.offset, entry.at, record);
            Self::report(verdict, record, out);
        }
        if was_known && !self.history.is_known() {
            out.note(Note::new(&note::RULES_MISSED).with("oldest", page.oldest));
        }
        self.checkpoint.on_page(now.instant, page);
        let is_known = self.history.is_known() || !self.has(Mechanism::Gaps);
        if page.is_last() && is_known {
            self.confirmation.confirm(page.asked);
            self.enact(now, out);
        }
        self.reader.answered(now.instant, page.is_last());
        if self.reader.is_reader() || !page.is_last() {
            self.reader.read(now.instant, self.history.next(), out);
        }
    }

    fn report(verdict: Option<Verdict>, record: &Record, out: &mut Outbox) {
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

    /// Brings the history's newest rules into force, if they are newer than the ones in force.
    fn enact(&mut self, now: Now, out: &mut Outbox) {
        self.review(now, out);
        self.renew(out);
        let told = std::mem::replace(&mut self.held, self.history.held().clone());
        for version in self.history.held().difference(&told) {
            out.raise(Event::Held(version.clone()));
        }
    }

    fn renew(&mut self, out: &mut Outbox) {
        let Some(newest) = self.history.in_force() else {
            return;
        };
        if newest.generation <= self.generation() {
            return;
        }
        self.held.clear();
        out.note(
            Note::new(&note::IN_FORCE)
                .with("generation", newest.generation)
                .with("by", &newest.by),
        );
        let newest = Arc::new(newest.clone());
        self.in_force = Some(Arc::clone(&newest));
        out.raise(Event::InForce(newest));
        if self.has(Mechanism::Passing) {
            self.spread.push(self.fleet.view(), out);
        }
    }

    /// Tells the others whether work may be taken, where that has changed.
    fn review(&mut self, now: Now, out: &mut Outbox) {
        let freshness = self.freshness(now);
        let before = std::mem::replace(&mut self.freshness, freshness);
        if before == freshness {
            return;
        }
        if before.takes_work() != freshness.takes_work() {
            out.raise(Event::Fresh(freshness.takes_work()));
        }
        let kind = match freshness {
            Freshness::Fresh => &note::FRESH,
            Freshness::Outage => &note::OUTAGE,
            Freshness::Stale => &note::STALE,
        };
        if self.in_force.is_some() {
            out.note(Note::new(kind).with("generation", self.generation()));
        }
    }

    fn on_tick(&mut self, now: Now, out: &mut Outbox) {
        let at = now.instant;
        self.say_doubt(at);
        self.review(now, out);
        if self.reader.is_reader() || self.confirmation.is_overdue(at) {
            self.reader.read(at, self.history.next(), out);
        }
        if self.confirmation.is_old(at) && self.has(Mechanism::Passing) {
            let reader = self.reader.other();
            let is_doubtful = self.confirmation.is_doubtful(at);
            let others = is_doubtful.then(|| self.fleet.view());
            self.spread.ask(at, reader, others, out);
        }
        if self.freshness == Freshness::Fresh && self.has(Mechanism::Checkpoints) {
            let snapshot = || self.history.snapshot();
            self.checkpoint.write(at, self.fleet.view(), snapshot, out);
        }
    }
}

impl Controller for Rules {
    fn handle(&mut self, now: Now, event: &Event, out: &mut Outbox) {
        match event {
            Event::Started => self.on_start(now, out),
            Event::Read(page) if page.stream == Stream::Rules => self.on_page(now, page, out),
            Event::ReadFailed(Stream::Rules) => self.reader.failed(now.instant),
            Event::Peer(frame) => self.on_frame(now, frame, out),
            Event::PeerFailed(peer) => self.spread.failed(peer),
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
        frame.news = self.news(now.instant, to);
        self.spread.seal(now.instant, to, frame);
    }
}
