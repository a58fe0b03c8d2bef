//! Rated answers: each entry counts its own and merges those of the others, so that all come to know the same.
//!
//! A cell of counts belongs to one start of one entry and only grows, so what comes late, twice or in another order
//! changes nothing. Counts of a version begin anew when an accepted publish lifts its hold: the operators say by it
//! that something has changed. Any other publish leaves them, as a version's name stands for one set of weights.

mod budget;
mod service;
mod spread;

use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};

use indexmap::{IndexMap, IndexSet};

use super::Controller;
use crate::clock::Now;
use crate::event::Event;
use crate::frame::{Frame, View};
use crate::id::{Address, CallId, Generation, VersionId};
use crate::mechanism::Mechanism;
use crate::note::{self, Note};
use crate::outbox::Outbox;
use crate::quality::{Cell, Count, Origin, Score, Subject, Tally};
use crate::rules::InForce;
use crate::settings::Settings;
use budget::Budget;
use service::{Service, Turned};
use spread::Spread;

/// Length of a window of time.
const WINDOW: Duration = Duration::from_secs(600);
/// Changed cells that all entries together tell anew in a second, at most.
const TOLD: u32 = 32;
/// Counts taken from one frame at most.
const TAKEN: usize = 64;

/// Keeps the counts of rated answers.
#[derive(Debug)]
pub struct Quality {
    own: Origin,
    tally: Tally,
    service: Service,
    budget: Budget,
    ratings: f64,
    rating_cost: u64,
    spread: Spread,
    changed: IndexSet<Subject>,
    tell_at: Option<Instant>,
    tell_every: Duration,
    since: IndexMap<VersionId, Generation>,
    held: IndexSet<VersionId>,
    rules: Option<Arc<InForce>>,
    heeds_health: bool,
    merges: bool,
}

impl Quality {
    pub(super) fn new(settings: &Settings) -> Self {
        let ratings = f64::from(settings.ratings);
        Self {
            own: Origin {
                entry: settings.entry.clone(),
                boot: settings.boot.clone(),
            },
            tally: Tally::default(),
            service: Service::default(),
            budget: Budget::new(ratings),
            ratings,
            rating_cost: settings.rating_cost,
            spread: Spread::default(),
            changed: IndexSet::new(),
            tell_at: None,
            tell_every: Duration::ZERO,
            since: IndexMap::new(),
            held: IndexSet::new(),
            rules: None,
            heeds_health: settings.has(Mechanism::RatingHealth),
            merges: settings.has(Mechanism::MergedCounts),
        }
    }

    /// The counts of all entries.
    pub fn tally(&self) -> &Tally {
        &self.tally
    }

    /// A version's ratings on a route, by all entries.
    pub fn score(&self, subject: &Subject) -> Score {
        self.sum(subject).all()
    }

    /// Whether the rating service can be expected to answer.
    pub fn is_service_up(&self, now: Instant) -> bool {
        self.ratings > 0.0 && (!self.heeds_health || self.service.is_up(now))
    }

    /// Time that the rating service takes.
    pub fn rating_latency(&self) -> Duration {
        self.service.takes()
    }

    /// Cost of a rating.
    pub fn rating_cost(&self) -> u64 {
        self.rating_cost
    }

    /// Whether an answer that is delivered anyway is to be rated as a sample.
    pub fn wants_sample(&self, now: Instant) -> bool {
        self.ratings > 0.0 && self.budget.has() && self.service.is_up(now)
    }

    fn sum(&self, subject: &Subject) -> Cell {
        let sum = self.tally.sum(subject);
        let since = self.since.get(&subject.version).copied();
        if sum.since < since.unwrap_or_default() {
            return Cell::default();
        }
        sum
    }

    fn on_rated(&mut self, now: Now, call: CallId, good: Option<bool>, out: &mut Outbox) {
        let answer = self.service.on_answer(call, good.is_some(), now.instant);
        let Some((subject, turned)) = answer else {
            return;
        };
        match turned {
            Some(Turned::Up) => out.note(Note::new(&note::RATINGS_UP)),
            Some(Turned::Down) => out.note(Note::new(&note::RATINGS_DOWN)),
            None => {}
        }
        if let Some(is_good) = good {
            self.count(now, &subject, is_good, out);
        }
    }

    fn count(&mut self, now: Now, subject: &Subject, is_good: bool, out: &mut Outbox) {
        let known = self.tally.cell(subject, &self.own).unwrap_or_default();
        let lifted = self.since.get(&subject.version).copied();
        let since = self.tally.sum(subject).since.max(lifted.unwrap_or(0));
        let mut cell = if known.since < since {
            Cell {
                since,
                ..Cell::default()
            }
        } else {
            known
        };
        cell.count(window(now.system), is_good);
        self.tally.merge(&Count {
            origin: self.own.clone(),
            subject: subject.clone(),
            cell,
        });
        self.changed.insert(subject.clone());
        self.tell_sum(subject, out);
    }

    fn tell_sum(&self, subject: &Subject, out: &mut Outbox) {
        out.raise(Event::Counted {
            subject: subject.clone(),
            sum: self.sum(subject),
        });
    }

    fn on_frame(&mut self, frame: &Frame, out: &mut Outbox) {
        if frame.is_brief {
            return;
        }
        self.spread.hear(frame);
        for count in frame.counts.iter().take(TAKEN) {
            let is_own = count.origin == self.own;
            if is_own || !self.is_named(&count.subject) || !self.merge(count) {
                continue;
            }
            self.spread.tell(&count.subject, &count.origin);
            self.tell_sum(&count.subject, out);
        }
    }

    fn merge(&mut self, count: &Count) -> bool {
        if self.merges {
            return self.tally.merge(count);
        }
        let known = self.tally.cell(&count.subject, &count.origin);
        let mut added = count.clone();
        added.cell.new += known.unwrap_or_default().all();
        self.tally.merge(&added)
    }

    fn is_named(&self, subject: &Subject) -> bool {
        let Some(in_force) = &self.rules else {
            return false;
        };
        let rules = &in_force.rules;
        let Some(version) = rules.versions.get(&subject.version) else {
            return false;
        };
        rules.routes.contains_key(&subject.route)
            || subject.route == version.model
            || subject.route == version.id
    }

    fn on_rules(&mut self, rules: &Arc<InForce>) {
        self.rules = Some(Arc::clone(rules));
        for version in std::mem::take(&mut self.held) {
            self.since.insert(version, rules.generation);
        }
        let mut tally = std::mem::take(&mut self.tally);
        tally.retain(|subject| self.is_named(subject));
        self.tally = tally;
        let versions = &rules.rules.versions;
        self.since.retain(|id, _| versions.contains_key(id));
    }

    fn on_members(&mut self, view: &Rc<View>) {
        let members = view.members.len().max(1) as u32;
        self.tell_every = Duration::from_secs(1) * members / TOLD;
        self.budget.set_rate(self.ratings / f64::from(members));
        self.spread.on_members(view);
        self.tally.forget(|origin| {
            let beat = view.members.get(&origin.entry);
            beat.is_some_and(|beat| beat.boot == origin.boot)
        });
    }

    fn on_tick(&mut self, now: Now, out: &mut Outbox) {
        self.budget.on_tick(now.instant);
        for call in self.service.overdue(now.instant) {
            out.raise(Event::Rated { call, good: None });
        }
        if self.tell_at.is_some_and(|at| at > now.instant) {
            return;
        }
        // In the order of their first change, whatever the ratings were.
        if let Some(subject) = self.changed.shift_remove_index(0) {
            self.tell_at = Some(now.instant + self.tell_every);
            self.spread.tell(&subject, &self.own);
        }
    }
}

/// Number of the window of time of a moment.
fn window(at: SystemTime) -> u64 {
    let time = at.duration_since(SystemTime::UNIX_EPOCH);
    time.map_or(0, |time| time.as_secs() / WINDOW.as_secs())
}

impl Controller for Quality {
    fn handle(&mut self, now: Now, event: &Event, out: &mut Outbox) {
        match event {
            Event::RatingAsked { call, subject } => {
                self.budget.spend();
                self.service.ask(*call, subject.clone(), now.instant);
            }
            Event::Rated { call, good } => self.on_rated(now, *call, *good, out),
            Event::Peer(frame) => self.on_frame(frame, out),
            Event::Held(version) => _ = self.held.insert(version.clone()),
            Event::InForce(rules) => self.on_rules(rules),
            Event::Members(view) => self.on_members(view),
            Event::Tick => self.on_tick(now, out),
            _ => {}
        }
    }

    fn fill(&mut self, _: Now, to: &Address, frame: &mut Frame) {
        self.spread.fill(to, &self.tally, frame);
    }
}
