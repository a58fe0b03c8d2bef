//! The watch over versions that turn out bad.
//!
//! Two tests, both of them functions of the merged counts and valid however often they are looked at:
//!
//! - **roll-out**: a version against the version listed before it of the same model, over all counts;
//! - **drift**: a version's newest window of time against its own windows before.
//!
//! What is found is appended to the log, where the first counts. A hold only withholds, and the next accepted publish
//! lifts it.

mod finding;

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use indexmap::{IndexMap, IndexSet};

use super::Controller;
use crate::clock::Now;
use crate::event::Event;
use crate::frame::View;
use crate::id::{EntryId, VersionId};
use crate::mechanism::Mechanism;
use crate::note::{self, Note};
use crate::outbox::Outbox;
use crate::quality::{Cell, Score, Subject, worse};
use crate::record::{Record, Stream};
use crate::rendezvous;
use crate::rules::{InForce, Rules, Version};
use crate::settings::Settings;
use finding::Finding;

/// Chance that a version which is no worse than the one before it is ever held.
pub const ROLLOUT_FALSE_ALARM_RATE: f64 = 0.01;
/// Chance that a version which is as good as before is held, in each window of time.
pub const DRIFT_FALSE_ALARM_RATE: f64 = 0.0001;
/// Difference of good rates that does not matter.
pub const GOOD_RATE_MARGIN: f64 = 0.02;
/// Time that each further entry waits before it writes down what all have found.
const STAGGER: Duration = Duration::from_millis(500);
/// Entries that wait in turn; the others wait as long as the last of them.
const TURNS: usize = 8;

/// Watches over versions.
#[derive(Debug)]
pub struct RegressionDetector {
    entry: EntryId,
    is_on: bool,
    is_anytime: bool,
    rules: Option<Arc<InForce>>,
    members: Rc<View>,
    sums: IndexMap<Subject, Cell>,
    held: IndexSet<VersionId>,
    found: IndexMap<VersionId, Finding>,
}

impl RegressionDetector {
    pub(super) fn new(settings: &Settings) -> Self {
        Self {
            entry: settings.entry.clone(),
            is_on: settings.has(Mechanism::Guard),
            is_anytime: settings.has(Mechanism::AnytimeEvidence),
            rules: None,
            members: Rc::default(),
            sums: IndexMap::new(),
            held: IndexSet::new(),
            found: IndexMap::new(),
        }
    }

    fn on_counted(&mut self, now: Now, subject: &Subject, sum: Cell) {
        self.sums.insert(subject.clone(), sum);
        let Some(in_force) = self.rules.clone() else {
            return;
        };
        let id = &subject.version;
        if !self.is_on || self.held.contains(id) || self.found.contains_key(id) {
            return;
        }
        let Some(reason) = self.judge(&in_force.rules, id) else {
            return;
        };
        let members = self.members.members.keys().map(|entry| &**entry);
        let turn = rendezvous::rank(id, &self.entry, members).min(TURNS) as u32;
        let finding = Finding {
            at: now.instant + STAGGER * turn,
            reason,
            is_told: false,
        };
        self.found.insert(id.clone(), finding);
    }

    /// Why a version counts as bad, if it does.
    fn judge(&self, rules: &Rules, id: &VersionId) -> Option<Arc<str>> {
        let version = rules.versions.get(id)?;
        let own: Vec<(&Subject, &Cell)> = self
            .sums
            .iter()
            .filter(|(subject, _)| subject.version == *id)
            .collect();
        let names = names(rules, version) as f64;
        if let Some(before) = self.before(rules, version) {
            let against = |(subject, cell): &(&Subject, &Cell)| {
                self.evidence(cell.all(), self.score(subject, &before.id))
            };
            let evidence = mean(own.iter().map(against), names);
            if evidence >= (1.0 / ROLLOUT_FALSE_ALARM_RATE).ln() {
                return Some(format!("good less often than {}", before.id).into());
            }
        }
        let against = |(_, cell): &(&Subject, &Cell)| self.evidence(cell.new, cell.old);
        let evidence = mean(own.iter().map(against), names);
        let is_bad = evidence >= (1.0 / DRIFT_FALSE_ALARM_RATE).ln();
        is_bad.then(|| "good less often than before".into())
    }

    fn evidence(&self, version: Score, other: Score) -> f64 {
        if self.is_anytime {
            return worse(version, other, GOOD_RATE_MARGIN);
        }
        // What a test for a single look would say: the ratio of the best fits.
        let rate = |score: Score| f64::from(score.good) / f64::from(score.rated.max(1));
        let is_worse = rate(version) < rate(other) - GOOD_RATE_MARGIN;
        if is_worse { f64::INFINITY } else { 0.0 }
    }

    fn score(&self, subject: &Subject, version: &VersionId) -> Score {
        let other = Subject {
            route: subject.route.clone(),
            version: version.clone(),
            is_later: subject.is_later,
        };
        self.sums.get(&other).copied().unwrap_or_default().all()
    }

    /// The version of the same model listed before, the nearest that is not held.
    fn before<'a>(&self, rules: &'a Rules, version: &'a Version) -> Option<&'a Version> {
        rules
            .versions_of(&version.model)
            .take_while(|other| other.id != version.id)
            .filter(|other| !self.held.contains(&other.id))
            .last()
    }

    /// Whether another version can answer wherever this one can.
    fn has_other(&self, rules: &Rules, id: &VersionId) -> bool {
        let Some(version) = rules.versions.get(id) else {
            return false;
        };
        let is_open =
            |other: &Version| other.id != *id && !other.withdrawn && !self.held.contains(&other.id);
        let has_model = rules.versions_of(&version.model).any(is_open);
        let mut routes = rules
            .routes
            .values()
            .filter(|route| route.models.contains(&version.model));
        let has_route = |models: &[crate::id::ModelId]| {
            let mut versions = models.iter().flat_map(|model| rules.versions_of(model));
            versions.any(is_open)
        };
        has_model || routes.clone().count() > 0 && routes.all(|route| has_route(&route.models))
    }

    fn on_tick(&mut self, now: Now, out: &mut Outbox) {
        let Some(in_force) = &self.rules else { return };
        let mut due: Vec<VersionId> = Vec::new();
        for (id, finding) in &self.found {
            if !finding.is_told && finding.at <= now.instant {
                due.push(id.clone());
            }
        }
        for id in due {
            let has_other = self.has_other(&in_force.rules, &id);
            let Some(finding) = self.found.get_mut(&id) else {
                continue;
            };
            finding.is_told = true;
            let kind = if has_other {
                &note::VERSION_BAD
            } else {
                &note::VERSION_KEPT
            };
            let note = Note::new(kind).with("version", &id);
            out.note(note.with("why", &finding.reason));
            if !has_other {
                continue;
            }
            let record = Record::Hold {
                version: id,
                generation: in_force.generation,
                reason: finding.reason.clone(),
            };
            out.raise(Event::Write {
                stream: Stream::Rules,
                record: Rc::new(record),
            });
        }
    }

    /// An accepted publish lifts all holds, and what was found has to be found anew.
    fn on_rules(&mut self, rules: &Arc<InForce>) {
        let lifted = std::mem::take(&mut self.held);
        self.sums
            .retain(|subject, _| !lifted.contains(&subject.version));
        self.found.clear();
        self.rules = Some(Arc::clone(rules));
    }
}

/// Ways in which a version can be counted: the routes of its model, the model and its own name, each in two places of a
/// chain.
fn names(rules: &Rules, version: &Version) -> usize {
    let routes = rules.routes.values();
    let named = routes.filter(|route| route.models.contains(&version.model));
    (named.count() + 2) * 2
}

/// Logarithm of the mean of evidence under so many names; those without ratings count as 1.
fn mean(evidence: impl Iterator<Item = f64>, names: f64) -> f64 {
    let (count, sum) = evidence.fold((0.0, 0.0), |(count, sum), one| {
        (count + 1.0, sum + one.exp())
    });
    ((sum + (names - count).max(0.0)) / names.max(count)).ln()
}

impl Controller for RegressionDetector {
    fn handle(&mut self, now: Now, event: &Event, out: &mut Outbox) {
        match event {
            Event::Counted { subject, sum } => self.on_counted(now, subject, *sum),
            Event::Held(version) => {
                self.held.insert(version.clone());
                self.found.shift_remove(version);
            }
            Event::InForce(rules) => self.on_rules(rules),
            Event::Members(view) => self.members = Rc::clone(view),
            Event::Tick => self.on_tick(now, out),
            _ => {}
        }
    }
}
