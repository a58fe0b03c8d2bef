//! The rules in force, and how sure this entry is that they are the newest.
//!
//! The log orders publishes and every reader comes to the same verdict. `confirmed` is the last moment at which this
//! entry's generation was known to be the newest: the moment a question was sent to which the log answered "nothing
//! newer", or such a moment of a peer of the same generation.

use std::sync::Arc;
use std::time::{Duration, Instant};

use indexmap::IndexMap;

use super::Controller;
use crate::clock::Now;
use crate::event::{Event, Page};
use crate::frame::{Frame, News};
use crate::id::{Address, Generation, VersionId};
use crate::note::{self, Note};
use crate::outbox::Outbox;
use crate::record::{Record, Stream};
use crate::refusal::Code;
use crate::rules::{self, History, InForce, Verdict};
use crate::settings::Settings;

/// Keeps the rules.
#[derive(Debug)]
pub struct Rules {
    history: History,
    in_force: Option<Arc<InForce>>,
    confirmed: Option<Instant>,
    stale_after: Duration,
    is_stale: bool,
    peers: IndexMap<Address, Generation>,
}

impl Rules {
    pub(super) fn new(settings: &Settings) -> Self {
        Self {
            history: History::default(),
            in_force: None,
            confirmed: None,
            stale_after: settings.stale_after,
            is_stale: false,
            peers: IndexMap::new(),
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

    /// The last moment at which the generation was known to be the newest.
    pub fn confirmed(&self) -> Option<Instant> {
        self.confirmed
    }

    /// The rules by which new work may be taken now.
    pub fn for_new_work(&self, now: Now) -> Result<&rules::Rules, Code> {
        let Some(in_force) = &self.in_force else {
            return Err(Code::NotReady);
        };
        if self.is_stale_at(now) {
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

    fn is_stale_at(&self, now: Now) -> bool {
        self.confirmed
            .is_none_or(|at| at + self.stale_after < now.instant)
    }

    fn on_page(&mut self, page: &Page, out: &mut Outbox) {
        for entry in &page.entries {
            let Some(record) = &entry.record else {
                continue;
            };
            let held = self.history.held().len();
            let verdict = self.history.feed(entry.offset, entry.at, record);
            Self::report(verdict, record, out);
            if let Record::Hold { version, .. } = record
                && self.history.held().len() > held
            {
                out.raise(Event::Held(version.clone()));
            }
        }
        if page.is_last() {
            self.history.caught_up();
            self.confirm(page.asked);
            self.enact(out);
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
    fn enact(&mut self, out: &mut Outbox) {
        let Some(newest) = self.history.in_force() else {
            return;
        };
        if newest.generation <= self.generation() {
            return;
        }
        out.note(
            Note::new(&note::IN_FORCE)
                .with("generation", newest.generation)
                .with("by", &newest.by),
        );
        let newest = Arc::new(newest.clone());
        self.in_force = Some(Arc::clone(&newest));
        out.raise(Event::InForce(newest));
    }

    fn confirm(&mut self, at: Instant) {
        self.confirmed = Some(self.confirmed.map_or(at, |known| known.max(at)));
    }

    fn on_frame(&mut self, now: Now, frame: &Frame, out: &mut Outbox) {
        let news = &frame.news;
        self.peers.insert(frame.address.clone(), news.generation);
        if news.generation > self.generation()
            && let Some((offset, by, text)) = news.rules.clone()
        {
            let checkpoint = Record::Checkpoint {
                generation: news.generation,
                offset,
                by,
                text,
            };
            self.history
                .feed(self.history.next(), now.system, &checkpoint);
            self.enact(out);
        }
        let confirmed = news.age.and_then(|age| now.instant.checked_sub(age));
        if news.generation == self.generation()
            && let Some(at) = confirmed
        {
            self.confirm(at);
        }
    }

    fn on_tick(&mut self, now: Now, out: &mut Outbox) {
        let is_stale = self.in_force.is_some() && self.is_stale_at(now);
        if std::mem::replace(&mut self.is_stale, is_stale) != is_stale {
            let kind = if is_stale { &note::STALE } else { &note::FRESH };
            out.note(Note::new(kind).with("generation", self.generation()));
        }
    }
}

impl Controller for Rules {
    fn handle(&mut self, now: Now, event: &Event, out: &mut Outbox) {
        match event {
            Event::Read(page) if page.stream == Stream::Rules => self.on_page(page, out),
            Event::Peer(frame) => self.on_frame(now, frame, out),
            Event::Tick => self.on_tick(now, out),
            _ => {}
        }
    }

    fn fill(&mut self, now: Now, to: &Address, frame: &mut Frame) {
        let age = self
            .confirmed
            .map(|at| now.instant.saturating_duration_since(at));
        let behind = self
            .peers
            .get(to)
            .is_some_and(|generation| *generation < self.generation());
        let rules = self.in_force.as_ref().filter(|_| behind);
        let rules = rules.map(|rules| (rules.offset, rules.by.clone(), rules.text.clone()));
        frame.news = News {
            generation: self.generation(),
            age,
            rules,
        };
    }
}
