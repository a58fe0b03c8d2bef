//! Invariants, checked against what callers and engines have observed.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::caller::{Kind, Outcome};
use super::disturbances::Disturbances;
use super::engine::{EVENTS, Run, event};

/// Time after which a draining engine must receive no more requests.
pub(super) const DRAIN_TIMEOUT: Duration = Duration::from_millis(2000);
/// Time after which a published configuration must be in force.
pub(super) const CONFIGURATION_TIMEOUT: Duration = Duration::from_millis(2000);
/// Statuses that promise that a request has not run and never will.
const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];

/// Everything that was observed in a run.
#[derive(Debug)]
pub(super) struct Observations {
    pub(super) outcomes: Vec<Outcome>,
    pub(super) runs: Vec<Run>,
    pub(super) disturbances: Disturbances,
    /// Engines that drained, with the start and the end of draining.
    pub(super) drains: Vec<(usize, Instant, Instant)>,
    /// Entries that were told to shut down, and when.
    pub(super) shutdowns: Vec<(usize, Instant)>,
}

impl Observations {
    /// Returns all violations of invariants.
    pub(super) fn violations(&self) -> Vec<String> {
        let mut runs: BTreeMap<&str, Vec<&Run>> = BTreeMap::new();
        for run in &self.runs {
            runs.entry(&run.id).or_default().push(run);
        }
        let none = Vec::new();
        let mut violations = Vec::new();
        for outcome in &self.outcomes {
            let runs = runs.get(&*outcome.id).unwrap_or(&none);
            violations.extend(self.check_outcome(outcome, runs));
        }
        violations.extend(self.runs.iter().filter_map(check_identity));
        violations.extend(self.late_requests_to_draining());
        violations
    }

    fn check_outcome(&self, outcome: &Outcome, runs: &[&Run]) -> Option<String> {
        let id = &outcome.id;
        let violation = |what: &str| Some(format!("{id} at e{}: {what}", outcome.entry));
        if outcome.kind == Kind::Once && runs.len() > 1 {
            return violation("a request that may run once ran twice");
        }
        if NOT_RUN_STATUSES.contains(&outcome.status()) && !runs.is_empty() {
            return violation("the status says that the request has not run, but it has");
        }
        if outcome.status() == 200 && outcome.is_complete() && !is_expected_response(outcome) {
            return violation("a complete response differs from the engine's");
        }
        if [400, 401, 404, 413, 431].contains(&outcome.status()) {
            return violation("a valid request was refused as invalid");
        }
        self.is_cut_by_shutdown(outcome, runs).then(|| {
            format!(
                "{id} at e{}: response cut by a graceful shutdown, {outcome:?}",
                outcome.entry
            )
        })
    }

    /// Whether a response was cut and only the shutdown of the entry can be the cause.
    fn is_cut_by_shutdown(&self, outcome: &Outcome, runs: &[&Run]) -> bool {
        let is_cut = outcome.status() == 0 || !outcome.is_complete();
        let is_engine_fault = runs.is_empty() || runs.iter().any(|run| run.is_cut);
        let (sent, ended) = (outcome.sent, outcome.ended);
        let mut shutdowns = self.shutdowns.iter();
        is_cut
            && !is_engine_fault
            && shutdowns.any(|(entry, at)| {
                let disturbances = &self.disturbances;
                *entry == outcome.entry
                    && *at <= ended
                    && *at + Duration::from_secs(1) >= sent
                    && disturbances.is_undisturbed_except(*entry, sent, ended, Some(*at))
            })
    }

    /// Requests that reached a draining engine after [`DRAIN_TIMEOUT`].
    fn late_requests_to_draining(&self) -> Vec<String> {
        let entries: BTreeMap<&str, usize> = self
            .outcomes
            .iter()
            .map(|outcome| (&*outcome.id, outcome.entry))
            .collect();
        let mut violations = Vec::new();
        for (engine, from, to) in &self.drains {
            let late = |run: &&Run| {
                run.engine == *engine && run.at > *from + DRAIN_TIMEOUT && run.at < *to
            };
            for run in self.runs.iter().filter(late) {
                let entry = entries.get(&*run.id);
                if entry
                    .is_some_and(|entry| self.disturbances.is_undisturbed(*entry, *from, run.at))
                {
                    let since = run.at - *from;
                    violations.push(format!(
                        "{} was sent to an engine {since:?} after it began to drain",
                        run.id
                    ));
                }
            }
        }
        violations
    }
}

/// Whether a complete response is the one that the engine gives to this request.
fn is_expected_response(outcome: &Outcome) -> bool {
    let Some(response) = &outcome.response else {
        return false;
    };
    let body = match outcome.kind {
        Kind::Once | Kind::Retryable => format!("ok {}", outcome.id),
        Kind::Events => (1..=EVENTS).map(|it| event(&outcome.id, it)).collect(),
    };
    let is_signed = response.header("x-comfreyroad-server-signature") == "s";
    is_signed
        && response.header("x-comfreyroad-request-id") == outcome.id
        && response.text() == body
}

/// Checks that the engine received the customer, and not the API key.
fn check_identity(run: &Run) -> Option<String> {
    let is_correct = run.customer == "customer" && !run.has_key;
    (!is_correct).then(|| format!("{}: customer {}, key {}", run.id, run.customer, run.has_key))
}
