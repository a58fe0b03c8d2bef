//! Counts of rated answers: each entry counts its own and merges those of the others, so that all converge.
//!
//! A cell of counts belongs to one boot of one entry and only grows, so late, repeated or reordered updates change
//! nothing. Counts of a version restart when an accepted publish lifts its hold, by which the operators state that
//! something has changed. Any other publish keeps the counts, since a version's name stands for one set of weights.

mod budget;
mod gossip;
mod service;

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
use gossip::Gossip;
use service::{Service, Transition};

/// Length of the time windows in which answers are counted.
const WINDOW: Duration = Duration::from_secs(600);
/// Maximum number of changed cells that all entries together gossip per second.
const MAX_CHANGES_PER_S: u32 = 32;
/// Maximum number of counts accepted from one frame.
const MAX_COUNTS_PER_FRAME: usize = 64;

/// Keeps the counts of rated answers.
#[derive(Debug)]
pub struct Quality {
    origin: Origin,
    tally: Tally,
    service: Service,
    budget: Budget,
    samples_per_s: f64,
    rating_cost: u64,
    gossip: Gossip,
    changed: IndexSet<Subject>,
    next_gossip_at: Option<Instant>,
    gossip_interval: Duration,
    counted_since: IndexMap<VersionId, Generation>,
    held: IndexSet<VersionId>,
    rules: Option<Arc<InForce>>,
    checks_service: bool,
    merges_counts: bool,
}

impl Quality {
    pub(super) fn new(settings: &Settings) -> Self {
        let samples_per_s = f64::from(settings.ratings_per_second);
        Self {
            origin: Origin {
                entry: settings.entry.clone(),
                boot: settings.boot.clone(),
            },
            tally: Tally::default(),
            service: Service::default(),
            budget: Budget::new(samples_per_s),
            samples_per_s,
            rating_cost: settings.rating_cost,
            gossip: Gossip::default(),
            changed: IndexSet::new(),
            next_gossip_at: None,
            gossip_interval: Duration::ZERO,
            counted_since: IndexMap::new(),
            held: IndexSet::new(),
            rules: None,
            checks_service: settings.is_enabled(Mechanism::RatingHealth),
            merges_counts: settings.is_enabled(Mechanism::CountMerging),
        }
    }

    /// The counts of all entries.
    pub fn tally(&self) -> &Tally {
        &self.tally
    }

    /// The ratings that all entries have counted for a version on a route.
    pub fn score(&self, subject: &Subject) -> Score {
        self.sum(subject).all()
    }

    /// Whether the rating service is expected to answer.
    pub fn is_service_up(&self, now: Instant) -> bool {
        self.samples_per_s > 0.0 && (!self.checks_service || self.service.is_up(now))
    }

    /// High percentile of the rating service's recent latency.
    pub fn rating_latency(&self) -> Duration {
        self.service.latency()
    }

    /// Cost of a rating.
    pub fn rating_cost(&self) -> u64 {
        self.rating_cost
    }

    /// Whether an answer that is delivered in any case is to be rated as a sample.
    pub fn wants_sample(&self, now: Instant) -> bool {
        self.samples_per_s > 0.0 && self.budget.has_sample() && self.service.is_up(now)
    }

    fn sum(&self, subject: &Subject) -> Cell {
        let sum = self.tally.sum(subject);
        let since = self.counted_since.get(&subject.version).copied();
        if sum.since < since.unwrap_or_default() {
            return Cell::default();
        }
        sum
    }

    fn on_rated(&mut self, now: Now, call: CallId, good: Option<bool>, out: &mut Outbox) {
        let answer = self.service.on_answer(call, good.is_some(), now.instant);
        let Some((subject, transition)) = answer else {
            return;
        };
        match transition {
            Some(Transition::Up) => out.note(Note::new(&note::RATINGS_UP)),
            Some(Transition::Down) => out.note(Note::new(&note::RATINGS_DOWN)),
            None => {}
        }
        if let Some(is_good) = good {
            self.count(now, &subject, is_good, out);
        }
    }

    fn count(&mut self, now: Now, subject: &Subject, is_good: bool, out: &mut Outbox) {
        let known = self.tally.cell(subject, &self.origin).unwrap_or_default();
        let restarted = self.counted_since.get(&subject.version).copied();
        let since = self.tally.sum(subject).since.max(restarted.unwrap_or(0));
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
            origin: self.origin.clone(),
            subject: subject.clone(),
            cell,
        });
        self.changed.insert(subject.clone());
        self.announce_sum(subject, out);
    }

    fn announce_sum(&self, subject: &Subject, out: &mut Outbox) {
        out.raise(Event::RatingsChanged {
            subject: subject.clone(),
            sum: self.sum(subject),
        });
    }

    fn on_frame(&mut self, frame: &Frame, out: &mut Outbox) {
        if frame.is_rules_only {
            return;
        }
        self.gossip.on_frame(frame);
        for count in frame.counts.iter().take(MAX_COUNTS_PER_FRAME) {
            let is_own = count.origin == self.origin;
            if is_own || !self.is_in_rules(&count.subject) || !self.merge(count) {
                continue;
            }
            self.gossip.push(&count.subject, &count.origin);
            self.announce_sum(&count.subject, out);
        }
    }

    fn merge(&mut self, count: &Count) -> bool {
        if self.merges_counts {
            return self.tally.merge(count);
        }
        let known = self.tally.cell(&count.subject, &count.origin);
        let mut added = count.clone();
        added.cell.new += known.unwrap_or_default().all();
        self.tally.merge(&added)
    }

    /// Whether the rules in force contain what was rated.
    fn is_in_rules(&self, subject: &Subject) -> bool {
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
            self.counted_since.insert(version, rules.generation);
        }
        let mut tally = std::mem::take(&mut self.tally);
        tally.retain(|subject| self.is_in_rules(subject));
        self.tally = tally;
        let versions = &rules.rules.versions;
        self.counted_since.retain(|id, _| versions.contains_key(id));
    }

    fn on_members(&mut self, view: &Rc<View>) {
        let members = view.members.len().max(1) as u32;
        self.gossip_interval = Duration::from_secs(1) * members / MAX_CHANGES_PER_S;
        self.budget
            .set_rate(self.samples_per_s / f64::from(members));
        self.gossip.on_members(view);
        self.tally.prune(|origin| {
            let beat = view.members.get(&origin.entry);
            beat.is_some_and(|beat| beat.boot == origin.boot)
        });
    }

    fn on_tick(&mut self, now: Now, out: &mut Outbox) {
        self.budget.on_tick(now.instant);
        for call in self.service.timed_out(now.instant) {
            out.raise(Event::Rated { call, good: None });
        }
        if self.next_gossip_at.is_some_and(|at| at > now.instant) {
            return;
        }
        // Changes are gossiped in the order in which they first occurred, independent of the ratings.
        if let Some(subject) = self.changed.shift_remove_index(0) {
            self.next_gossip_at = Some(now.instant + self.gossip_interval);
            self.gossip.push(&subject, &self.origin);
        }
    }
}

/// Number of the time window that contains a moment.
fn window(at: SystemTime) -> u64 {
    let time = at.duration_since(SystemTime::UNIX_EPOCH);
    time.map_or(0, |time| time.as_secs() / WINDOW.as_secs())
}

impl Controller for Quality {
    fn handle(&mut self, now: Now, event: &Event, out: &mut Outbox) {
        match event {
            Event::RatingAsked { call, subject } => {
                self.budget.spend();
                self.service.on_sent(*call, subject.clone(), now.instant);
            }
            Event::Rated { call, good } => self.on_rated(now, *call, *good, out),
            Event::Peer(frame) => self.on_frame(frame, out),
            Event::VersionHeld(version) => _ = self.held.insert(version.clone()),
            Event::InForce(rules) => self.on_rules(rules),
            Event::Members(view) => self.on_members(view),
            Event::Tick => self.on_tick(now, out),
            _ => {}
        }
    }

    fn fill(&mut self, _: Now, to: &Address, frame: &mut Frame) {
        self.gossip.fill(to, &self.tally, frame);
    }
}
