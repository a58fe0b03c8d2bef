//! Detects versions whose answers are rated good less often than they should be.
//!
//! There are two tests. Both depend only on the merged counts and stay valid however often they are evaluated:
//!
//! - **roll-out**: compares a version with the version of the same model listed before it, over all counts;
//! - **drift**: compares a version's newest time window with its own earlier windows.
//!
//! A finding is appended to the log as a hold, and the first hold for a version counts. A hold only withholds the version,
//! and the next accepted publish lifts it.

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
use crate::quality::{Cell, Score, Subject, log_evidence};
use crate::record::{Record, Stream};
use crate::rendezvous;
use crate::rules::{InForce, Rules, Version};
use crate::settings::Settings;
use finding::Finding;

/// Probability that a version which is no worse than the one before it is ever held.
pub const ROLLOUT_FALSE_ALARM_RATE: f64 = 0.01;
/// Probability, per time window, that a version which is as good as before is held.
pub const DRIFT_FALSE_ALARM_RATE: f64 = 0.0001;
/// Difference between two rates of good answers that is tolerated.
pub const GOOD_RATE_MARGIN: f64 = 0.02;
/// Additional delay of each further entry before it reports a finding that all entries share.
const REPORT_STAGGER: Duration = Duration::from_millis(500);
/// Number of entries whose reports are staggered; all others wait as long as the last of these.
const MAX_STAGGERED_ENTRIES: usize = 8;

/// Tests each version for a regression and reports the regressions found.
#[derive(Debug)]
pub struct Detector {
    entry: EntryId,
    is_enabled: bool,
    uses_anytime_evidence: bool,
    rules: Option<Arc<InForce>>,
    members: Rc<View>,
    cells: IndexMap<Subject, Cell>,
    held: IndexSet<VersionId>,
    findings: IndexMap<VersionId, Finding>,
}

impl Detector {
    pub(super) fn new(settings: &Settings) -> Self {
        Self {
            entry: settings.entry.clone(),
            is_enabled: settings.is_enabled(Mechanism::RegressionDetector),
            uses_anytime_evidence: settings.is_enabled(Mechanism::AnytimeEvidence),
            rules: None,
            members: Rc::default(),
            cells: IndexMap::new(),
            held: IndexSet::new(),
            findings: IndexMap::new(),
        }
    }

    fn on_counted(&mut self, now: Now, subject: &Subject, sum: Cell) {
        self.cells.insert(subject.clone(), sum);
        let Some(in_force) = self.rules.clone() else {
            return;
        };
        let id = &subject.version;
        if !self.is_enabled || self.held.contains(id) || self.findings.contains_key(id) {
            return;
        }
        let Some(reason) = self.find_regression(&in_force.rules, id) else {
            return;
        };
        let members = self.members.members.keys().map(|entry| &**entry);
        let rank = rendezvous::rank(id, &self.entry, members).min(MAX_STAGGERED_ENTRIES) as u32;
        let finding = Finding {
            report_at: now.instant + REPORT_STAGGER * rank,
            reason,
            is_reported: false,
        };
        self.findings.insert(id.clone(), finding);
    }

    /// Returns the reason why a version is bad, if it is.
    fn find_regression(&self, rules: &Rules, id: &VersionId) -> Option<Arc<str>> {
        let version = rules.versions.get(id)?;
        let own: Vec<(&Subject, &Cell)> = self
            .cells
            .iter()
            .filter(|(subject, _)| subject.version == *id)
            .collect();
        let count = subject_count(rules, version) as f64;
        if let Some(baseline) = self.baseline(rules, version) {
            let compare = |(subject, cell): &(&Subject, &Cell)| {
                self.evidence(cell.all(), self.score(subject, &baseline.id))
            };
            let evidence = mean_evidence(own.iter().map(compare), count);
            if evidence >= (1.0 / ROLLOUT_FALSE_ALARM_RATE).ln() {
                return Some(format!("good less often than {}", baseline.id).into());
            }
        }
        let compare = |(_, cell): &(&Subject, &Cell)| self.evidence(cell.new, cell.old);
        let evidence = mean_evidence(own.iter().map(compare), count);
        let is_bad = evidence >= (1.0 / DRIFT_FALSE_ALARM_RATE).ln();
        is_bad.then(|| "good less often than before".into())
    }

    fn evidence(&self, version: Score, other: Score) -> f64 {
        if self.uses_anytime_evidence {
            return log_evidence(version, other, GOOD_RATE_MARGIN);
        }
        // The result of a test that is valid for a single evaluation only: a comparison of the observed rates.
        let rate = |score: Score| f64::from(score.good) / f64::from(score.rated.max(1));
        let is_worse = rate(version) < rate(other) - GOOD_RATE_MARGIN;
        if is_worse { f64::INFINITY } else { 0.0 }
    }

    fn score(&self, subject: &Subject, version: &VersionId) -> Score {
        let other = Subject {
            route: subject.route.clone(),
            version: version.clone(),
            is_escalated: subject.is_escalated,
        };
        self.cells.get(&other).copied().unwrap_or_default().all()
    }

    /// Returns the nearest version of the same model that is listed before this one and not held.
    fn baseline<'a>(&self, rules: &'a Rules, version: &'a Version) -> Option<&'a Version> {
        rules
            .versions_of(&version.model)
            .take_while(|other| other.id != version.id)
            .filter(|other| !self.held.contains(&other.id))
            .last()
    }

    /// Whether another version can answer every request that this one can answer.
    fn has_alternative(&self, rules: &Rules, id: &VersionId) -> bool {
        let Some(version) = rules.versions.get(id) else {
            return false;
        };
        let is_available =
            |other: &Version| other.id != *id && !other.withdrawn && !self.held.contains(&other.id);
        let has_model = rules.versions_of(&version.model).any(is_available);
        let mut routes = rules
            .routes
            .values()
            .filter(|route| route.models.contains(&version.model));
        let has_route = |models: &[crate::id::ModelId]| {
            let mut versions = models.iter().flat_map(|model| rules.versions_of(model));
            versions.any(is_available)
        };
        has_model || routes.clone().count() > 0 && routes.all(|route| has_route(&route.models))
    }

    fn on_tick(&mut self, now: Now, out: &mut Outbox) {
        let Some(in_force) = &self.rules else { return };
        let mut due: Vec<VersionId> = Vec::new();
        for (id, finding) in &self.findings {
            if !finding.is_reported && finding.report_at <= now.instant {
                due.push(id.clone());
            }
        }
        for id in due {
            let has_alternative = self.has_alternative(&in_force.rules, &id);
            let Some(finding) = self.findings.get_mut(&id) else {
                continue;
            };
            finding.is_reported = true;
            let kind = if has_alternative {
                &note::VERSION_BAD
            } else {
                &note::BAD_VERSION_KEPT
            };
            let note = Note::new(kind).with("version", &id);
            out.note(note.with("why", &finding.reason));
            if !has_alternative {
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

    /// Handles an accepted publish: it lifts all holds and discards the findings.
    fn on_rules(&mut self, rules: &Arc<InForce>) {
        let lifted = std::mem::take(&mut self.held);
        self.cells
            .retain(|subject, _| !lifted.contains(&subject.version));
        self.findings.clear();
        self.rules = Some(Arc::clone(rules));
    }
}

/// Number of subjects under which a version can be counted: the routes of its model, the model and the version itself,
/// each at two positions of a chain.
fn subject_count(rules: &Rules, version: &Version) -> usize {
    let routes = rules.routes.values();
    let named = routes.filter(|route| route.models.contains(&version.model));
    (named.count() + 2) * 2
}

/// Logarithm of the mean evidence over `subject_count` subjects; subjects without ratings count as 1.
fn mean_evidence(evidence: impl Iterator<Item = f64>, subject_count: f64) -> f64 {
    let (count, sum) = evidence.fold((0.0, 0.0), |(count, sum), one| {
        (count + 1.0, sum + one.exp())
    });
    ((sum + (subject_count - count).max(0.0)) / subject_count.max(count)).ln()
}

impl Controller for Detector {
    fn handle(&mut self, now: Now, event: &Event, out: &mut Outbox) {
        match event {
            Event::RatingsChanged { subject, sum } => self.on_counted(now, subject, *sum),
            Event::VersionHeld(version) => {
                self.held.insert(version.clone());
                self.findings.shift_remove(version);
            }
            Event::InForce(rules) => self.on_rules(rules),
            Event::Members(view) => self.members = Rc::clone(view),
            Event::Tick => self.on_tick(now, out),
            _ => {}
        }
    }
}
