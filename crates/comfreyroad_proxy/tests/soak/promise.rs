//! The promises, held against what callers and engines have seen.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::calendar::Calendar;
use super::caller::{Kind, Outcome};
use super::engine::{EVENTS, Run, event};

/// Time after which a leaving engine gets nothing more.
pub(super) const DRAIN: Duration = Duration::from_millis(2000);
/// Time after which a configuration is in force.
pub(super) const APPLY: Duration = Duration::from_millis(2000);
/// Statuses which promise that a request has not run and never will.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

/// What a run has shown.
#[derive(Debug)]
pub(super) struct Evidence {
    pub(super) outcomes: Vec<Outcome>,
    pub(super) runs: Vec<Run>,
    pub(super) calendar: Calendar,
    /// Engines that said that they leave, and when they were gone.
    pub(super) drains: Vec<(usize, Instant, Instant)>,
    /// Entries that were told to end.
    pub(super) terms: Vec<(usize, Instant)>,
}

impl Evidence {
    /// Everything that is wrong.
    pub(super) fn broken(&self) -> Vec<String> {
        let mut runs: BTreeMap<&str, Vec<&Run>> = BTreeMap::new();
        for run in &self.runs {
            runs.entry(&run.id).or_default().push(run);
        }
        let none = Vec::new();
        let mut broken = Vec::new();
        for outcome in &self.outcomes {
            let runs = runs.get(&*outcome.id).unwrap_or(&none);
            broken.extend(self.judge(outcome, runs));
        }
        broken.extend(self.runs.iter().filter_map(identity));
        broken.extend(self.drained());
        broken
    }

    fn judge(&self, outcome: &Outcome, runs: &[&Run]) -> Option<String> {
        let id = &outcome.id;
        let say = |what: &str| Some(format!("{id} at e{}: {what}", outcome.entry));
        if outcome.kind == Kind::Once && runs.len() > 1 {
            return say("a request that may run once ran twice");
        }
        if PROMISES.contains(&outcome.status()) && !runs.is_empty() {
            return say("refused as not run, and has run");
        }
        if outcome.status() == 200 && outcome.is_whole() && !is_right(outcome) {
            return say("a whole answer that is not the engine's");
        }
        if [400, 401, 404, 413, 431].contains(&outcome.status()) {
            return say("a proper request denied");
        }
        self.cut_by_shutdown(outcome, runs).then(|| {
            format!(
                "{id} at e{}: cut by a graceful shutdown, {outcome:?}",
                outcome.entry
            )
        })
    }

    /// Whether nothing but the order to end can have cut a request that was passed on.
    fn cut_by_shutdown(&self, outcome: &Outcome, runs: &[&Run]) -> bool {
        let is_cut = outcome.status() == 0 || !outcome.is_whole();
        let is_engine = runs.is_empty() || runs.iter().any(|run| run.is_broken);
        let (sent, ended) = (outcome.sent, outcome.ended);
        let mut terms = self.terms.iter();
        is_cut
            && !is_engine
            && terms.any(|(entry, at)| {
                let calendar = &self.calendar;
                *entry == outcome.entry
                    && *at <= ended
                    && *at + Duration::from_secs(1) >= sent
                    && calendar.is_calm_but(*entry, sent, ended, Some(*at))
            })
    }

    /// Requests that reached an engine long after it had said that it leaves.
    fn drained(&self) -> Vec<String> {
        let entries: BTreeMap<&str, usize> = self
            .outcomes
            .iter()
            .map(|outcome| (&*outcome.id, outcome.entry))
            .collect();
        let mut broken = Vec::new();
        for (engine, from, to) in &self.drains {
            let late = |run: &&Run| run.engine == *engine && run.at > *from + DRAIN && run.at < *to;
            for run in self.runs.iter().filter(late) {
                let entry = entries.get(&*run.id);
                if entry.is_some_and(|entry| self.calendar.is_calm(*entry, *from, run.at)) {
                    let since = run.at - *from;
                    broken.push(format!("{} to a leaving engine after {since:?}", run.id));
                }
            }
        }
        broken
    }
}

/// Whether a whole answer is the engine's to this request.
fn is_right(outcome: &Outcome) -> bool {
    let Some(answer) = &outcome.answer else {
        return false;
    };
    let body = match outcome.kind {
        Kind::Once | Kind::Again => format!("ok {}", outcome.id),
        Kind::Events => (1..=EVENTS).map(|it| event(&outcome.id, it)).collect(),
    };
    let is_signed = answer.header("x-comfreyroad-server-signature") == "s";
    is_signed && answer.header("x-comfreyroad-request-id") == outcome.id && answer.text() == body
}

/// An engine is told whose request it is, and no key.
fn identity(run: &Run) -> Option<String> {
    let is_right = run.customer == "customer" && !run.has_key;
    (!is_right).then(|| format!("{}: customer {}, key {}", run.id, run.customer, run.has_key))
}
