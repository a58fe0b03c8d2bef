//! Invariants, checked against what callers and engines have observed.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::caller::{Kind, Outcome, SLACK};
use super::disturbances::Disturbances;
use super::engine::{EVENTS, Run, event};
use super::lifetime::Lifetime;
use super::scenario::Scenario;

/// Time after which a draining engine must receive no more requests.
pub(super) const DRAIN_TIMEOUT: Duration = Duration::from_millis(2000);
/// Time after which a published configuration must be in force.
pub(super) const CONFIGURATION_TIMEOUT: Duration = Duration::from_millis(2000);
/// Longest gap that callers bear: two seconds, four times the latency objective or eight times the event gap, whichever is
/// longest.
const BEARABLE_SILENCE: Duration = Duration::from_secs(4);
/// Time after which no other engine may work on a request that an engine has begun.
const HANDOVER_TIMEOUT: Duration = Duration::from_millis(400);
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
    pub(super) lifetimes: Vec<Lifetime>,
    pub(super) scenario: Scenario,
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
            violations.extend(self.check_cut(outcome, runs));
            violations.extend(self.check_unanswered(outcome, runs));
            violations.extend(self.check_handover(outcome, runs));
        }
        violations.extend(self.runs.iter().filter_map(check_identity));
        violations.extend(self.late_requests_to_draining());
        violations.extend(self.lifetimes.iter().filter_map(check_end));
        violations
    }

    /// Counts of requests, so that a run that tests little is noticed.
    pub(super) fn summary(&self) -> String {
        let count = |is_counted: &dyn Fn(&Outcome) -> bool| {
            let counted = self.outcomes.iter().filter(|it| is_counted(it));
            counted.count()
        };
        format!(
            "{} of {} served, {} with a body, {} not sent whole, {} cut, {} read and not answered",
            count(&|it| it.status() == 200 && it.is_complete()),
            self.outcomes.len(),
            count(&|it| !it.body.is_empty()),
            count(&|it| it.sent.is_none()),
            count(&|it| it.status() != 0 && !it.is_complete()),
            count(&|it| it.is_read && it.status() == 0),
        )
    }

    fn check_outcome(&self, outcome: &Outcome, runs: &[&Run]) -> Option<String> {
        let id = &outcome.id;
        let violation = |what: &str| Some(format!("{id} at e{}: {what}", outcome.entry));
        if outcome.kind == Kind::Once && runs.len() > 1 {
            return violation("a request that may run once ran twice");
        }
        if outcome.sent.is_none() && !runs.is_empty() {
            return violation("a request that was not whole ran");
        }
        if runs.iter().any(|run| run.body != outcome.body) {
            return violation("a request ran with another body");
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
        None
    }

    /// Checks that a request that has reached a sound engine gets a complete response.
    ///
    /// Around a shutdown the only excuses are that the engine broke off, that the time limit was reached, or that a request
    /// sent in the first three eighths of the grace period was still unfinished in its last sixth. At other times a
    /// response may also be cut if its engine is silent for longer than callers bear.
    fn check_cut(&self, outcome: &Outcome, runs: &[&Run]) -> Option<String> {
        if outcome.status() != 0 && outcome.is_complete() {
            return None;
        }
        let (sent, ended) = (outcome.sent?, outcome.ended);
        let last = last_run(runs)?;
        if last.is_cut || self.has_timed_out(outcome) || !self.is_without_fault(outcome) {
            return None;
        }
        let lifetime = self.lifetime(outcome)?;
        let grace = self.scenario.grace();
        let shutdown = lifetime.terminated.filter(|it| *it <= ended);
        let (cause, origin) = if let Some(shutdown) = shutdown {
            let is_sent_early = sent <= shutdown + grace * 3 / 8 + SLACK;
            let last_sixth = shutdown + grace * 5 / 6;
            let is_unfinished = last.ended().is_none_or(|it| it + SLACK >= last_sixth);
            if is_sent_early && is_unfinished {
                return None;
            }
            ("response cut by a graceful shutdown", shutdown)
        } else {
            let last_sent = runs.iter().filter_map(|run| run.last_sent).max();
            let silence = last
                .longest_silence
                .max(ended - last_sent.unwrap_or(sent).min(ended));
            if silence >= BEARABLE_SILENCE {
                return None;
            }
            ("response cut though its engine was sound", sent)
        };
        Some(describe(outcome, runs, lifetime, cause, origin))
    }

    /// Checks that a request that the process has read whole gets an answer, also if it has reached no engine.
    fn check_unanswered(&self, outcome: &Outcome, runs: &[&Run]) -> Option<String> {
        let is_answered = outcome.status() != 0 && outcome.is_complete();
        if is_answered || !outcome.is_read || !runs.is_empty() {
            return None;
        }
        let sent = outcome.sent?;
        let is_late = outcome.ended > sent + SLACK;
        if !is_late || self.has_timed_out(outcome) || !self.is_without_fault(outcome) {
            return None;
        }
        let lifetime = self.lifetime(outcome)?;
        let cause = "a request that was read got no answer";
        Some(describe(outcome, runs, lifetime, cause, sent))
    }

    fn has_timed_out(&self, outcome: &Outcome) -> bool {
        outcome.ended + SLACK >= outcome.started + self.scenario.request_timeout()
    }

    fn is_without_fault(&self, outcome: &Outcome) -> bool {
        let Outcome {
            entry,
            started,
            ended,
            ..
        } = *outcome;
        self.disturbances.is_without_fault(entry, started, ended)
    }

    /// Checks that an engine stops to work on a request soon after another one has begun.
    fn check_handover(&self, outcome: &Outcome, runs: &[&Run]) -> Option<String> {
        let lifetime = self.lifetime(outcome)?;
        let is_late = |first: &Run, next: &Run| {
            let (Some(began), Some(worked)) = (next.began, first.last_worked) else {
                return false;
            };
            // A cancelled attempt may arrive after the one that took its place.
            let holds_request = first.ended().is_none_or(|it| it + SLACK >= outcome.ended);
            first.at < next.at
                && !(next.was_cancelled_on_arrival() && holds_request)
                && worked > began + HANDOVER_TIMEOUT + SLACK
                && self
                    .disturbances
                    .is_without_fault(outcome.entry, first.at, worked)
        };
        let has_late = runs
            .iter()
            .any(|first| runs.iter().any(|next| is_late(first, next)));
        let cause = "an engine works on a request that another one has begun";
        has_late.then(|| describe(outcome, runs, lifetime, cause, outcome.started))
    }

    /// The lifetime of the entry's process that got a request.
    fn lifetime(&self, outcome: &Outcome) -> Option<&Lifetime> {
        let mut lifetimes = self.lifetimes.iter();
        lifetimes.find(|it| it.entry == outcome.entry && it.contains(outcome.started))
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

/// The run at which a request was last. One that was cancelled while an earlier one went on was only offered it.
fn last_run<'a>(runs: &[&'a Run]) -> Option<&'a Run> {
    let was_offered = |run: &Run| {
        let goes_on = |it: &&Run| {
            let is_held = it.ended().is_none_or(|end| Some(end) > run.closed);
            it.at < run.at && !it.is_cut && is_held
        };
        run.closed.is_some() && runs.iter().any(goes_on)
    };
    let runs = runs.iter().copied();
    runs.filter(|run| !was_offered(run))
        .max_by_key(|run| run.at)
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

/// Checks that a process ended only after it was told to, and with success.
fn check_end(lifetime: &Lifetime) -> Option<String> {
    let (ended, status) = lifetime.end?;
    let is_allowed = lifetime.terminated.is_some() && status.success();
    if is_allowed || lifetime.is_killed || lifetime.is_signaled_early {
        return None;
    }
    let entry = lifetime.entry;
    Some(match lifetime.terminated {
        Some(at) => {
            let since = seconds(ended, at);
            format!("e{entry}: ended with {status}, {since} after SIGTERM")
        }
        None => {
            let since = seconds(ended, lifetime.started);
            format!("e{entry}: ended with {status} without SIGTERM, {since} after its start")
        }
    })
}

/// Describes a request and its runs, with times relative to an instant.
fn describe(
    outcome: &Outcome,
    runs: &[&Run],
    lifetime: &Lifetime,
    cause: &str,
    origin: Instant,
) -> String {
    let at = |it: Instant| seconds(it, origin);
    let maybe = |it: Option<Instant>| it.map_or("-".to_owned(), at);
    let runs: Vec<String> = runs
        .iter()
        .map(|run| {
            format!(
                "engine {} (received {}, began {}, last worked {}, last sent {}, closed {}, finished {}, broke off {})",
                run.engine,
                at(run.at),
                maybe(run.began),
                maybe(run.last_worked),
                maybe(run.last_sent),
                maybe(run.closed),
                maybe(run.finished),
                run.is_cut
            )
        })
        .collect();
    format!(
        "{} {:?} at e{}: {cause}; begun {}, sent {}, ended {}, status {}; SIGTERM {}, process ended {}; {}",
        outcome.id,
        outcome.kind,
        outcome.entry,
        at(outcome.started),
        maybe(outcome.sent),
        at(outcome.ended),
        outcome.status(),
        maybe(lifetime.terminated),
        maybe(lifetime.end.map(|(it, _)| it)),
        runs.join(", ")
    )
}

/// Time of an instant relative to another one.
fn seconds(at: Instant, origin: Instant) -> String {
    let (sign, time) = if at < origin {
        ('-', origin - at)
    } else {
        ('+', at - origin)
    };
    format!("{sign}{:.3}s", time.as_secs_f64())
}
