//! Invariants of the fleet, checked against the journal of a complete run. A failed check returns its evidence.

use std::time::{Duration, Instant};

use comfreyroad::record::Key;
use comfreyroad::refusal::Ran;
use comfreyroad::rules::Rules;
use comfreyroad::session::Token;
use indexmap::{IndexMap, IndexSet};

use super::caller::Call;
use super::journal::{Dispatch, Hold};
use super::{Bench, Operation, Outcome};

/// Time within which a change must take effect at every entry.
const PROPAGATION_BOUND: Duration = Duration::from_secs(4);
/// Time after its deadline by which a caller must have received an answer or an error.
const ANSWER_GRACE: Duration = Duration::from_secs(1);

/// An invariant: its name and its check.
pub(crate) type Invariant = (&'static str, fn(&Bench) -> Result<(), String>);

/// All invariants.
pub(crate) const ALL: [Invariant; 13] = [
    ("allowed", allowed),
    ("withdrawn", withdrawn),
    ("held", held),
    ("session", session),
    ("billed_once", billed_once),
    ("starting", starting),
    ("zone_out", zone_out),
    ("whole_answer", whole_answer),
    ("not_run", not_run),
    ("at_most_once", at_most_once),
    ("leaving", leaving),
    ("shutdown", shutdown),
    ("in_force", in_force),
];

/// Checks every invariant and returns the names of the violated ones with the evidence.
pub(crate) fn violations(bench: &Bench) -> Vec<(&'static str, String)> {
    let violation = |(name, check): &Invariant| Some((*name, check(bench).err()?));
    ALL.iter().filter_map(violation).collect()
}

fn ensure(holds: bool, evidence: impl FnOnce() -> String) -> Result<(), String> {
    if holds { Ok(()) } else { Err(evidence()) }
}

impl Bench {
    /// Returns the time between the first publish and an instant.
    fn since_start(&self, at: Instant) -> Duration {
        let first = self.journal.accepted.first();
        first.map_or(Duration::ZERO, |first| at - first.at)
    }

    /// Returns the rules that may apply at a time: those in force then, and those replaced less than the bound before.
    fn rules_for(&self, at: Instant) -> impl Iterator<Item = &Rules> {
        let accepted = &self.journal.accepted;
        let oldest = at.checked_sub(PROPAGATION_BOUND).unwrap_or(at);
        let before = accepted.iter().rposition(|rules| rules.at <= oldest);
        let window = accepted.iter().skip(before.unwrap_or(0));
        window
            .take_while(move |rules| rules.at <= at)
            .map(|rules| &*rules.rules)
    }

    /// Returns the time of the earliest hold of a version that no publish has lifted before a time.
    fn held_since(&self, version: &str, at: Instant) -> Option<Instant> {
        let publishes = || self.journal.accepted.iter().map(|rules| rules.at);
        let holds = self.journal.holds.iter();
        let counts = |hold: &&Hold| {
            let is_lifted = publishes().any(|lifted| hold.at < lifted && lifted <= at);
            *hold.version == *version && hold.at <= at && !hold.is_lifted && !is_lifted
        };
        holds.filter(counts).map(|hold| hold.at).min()
    }

    /// Returns whether an entry may apply a hold at a time: until the bound after the hold was lifted.
    fn may_be_held(&self, version: &str, at: Instant) -> bool {
        let holds = self.journal.holds.iter();
        let mut before = holds.filter(|hold| *hold.version == *version && hold.at <= at);
        before.any(|hold| {
            let mut publishes = self.journal.accepted.iter();
            let lifted = publishes.find(|rules| rules.at > hold.at);
            lifted.is_none_or(|lifted| at <= lifted.at + PROPAGATION_BOUND)
        })
    }

    fn describe(&self, dispatch: &Dispatch) -> String {
        format!(
            "{} ({}) of {} to {} {:?} by entry-{} at {:?} under generation {}",
            self.calls[dispatch.call].spec.id,
            dispatch.tag,
            dispatch.customer,
            dispatch.upstream,
            dispatch.version,
            dispatch.instance.node,
            self.since_start(dispatch.at),
            dispatch.generation,
        )
    }

    /// Checks that each dispatch conforms to some rules that may apply at its time.
    fn each_dispatch(&self, may: impl Fn(&Dispatch, &Rules) -> bool) -> Result<(), String> {
        for dispatch in &self.journal.dispatches {
            let is_allowed = self
                .rules_for(dispatch.at)
                .any(|rules| may(dispatch, rules));
            ensure(is_allowed, || self.describe(dispatch))?;
        }
        Ok(())
    }

    fn key(call: &Call) -> Key {
        Key {
            customer: call.spec.customer.into(),
            request: call.spec.id.clone(),
        }
    }
}

/// A request is sent only to a model and version that its customer allows.
fn allowed(bench: &Bench) -> Result<(), String> {
    bench.each_dispatch(|dispatch, rules| {
        let Some(version) = &dispatch.version else {
            return true;
        };
        let version = rules.versions.get(version);
        let customer = rules.customers.get(&dispatch.customer);
        customer
            .zip(version)
            .is_some_and(|(customer, version)| customer.allows(version))
    })
}

/// A withdrawn version receives no new requests.
fn withdrawn(bench: &Bench) -> Result<(), String> {
    bench.each_dispatch(|dispatch, rules| {
        let version = dispatch.version.as_ref();
        version.is_none_or(|version| rules.is_active(version))
    })
}

/// A held version receives no new requests until a publish lifts the hold.
fn held(bench: &Bench) -> Result<(), String> {
    for dispatch in &bench.journal.dispatches {
        let Some(version) = &dispatch.version else {
            continue;
        };
        let since = bench.held_since(version, dispatch.at);
        let is_late = since.is_some_and(|since| since + PROPAGATION_BOUND < dispatch.at);
        ensure(!is_late, || bench.describe(dispatch))?;
    }
    Ok(())
}

/// A zone that is out receives no new requests.
fn zone_out(bench: &Bench) -> Result<(), String> {
    bench.each_dispatch(|dispatch, rules| {
        let upstream = bench.upstreams.get(&dispatch.upstream);
        upstream.is_some_and(|upstream| rules.is_zone_in(&upstream.zone))
    })
}

/// A session keeps its version unless the version is withdrawn or held.
fn session(bench: &Bench) -> Result<(), String> {
    for dispatch in &bench.journal.dispatches {
        let Some(version) = &dispatch.version else {
            continue;
        };
        let call = &bench.calls[dispatch.call];
        let Some(text) = &call.spec.session else {
            continue;
        };
        let keys = &bench.nodes[dispatch.instance.node].settings.session_keys;
        let Some(token) = Token::verify(text, keys) else {
            return Err(format!(
                "{} was sent with a session token that does not verify",
                call.spec.id
            ));
        };
        let mut rules = bench.rules_for(dispatch.at);
        let is_moved = rules.any(|rules| !rules.is_active(&token.version))
            || bench.may_be_held(&token.version, dispatch.at);
        ensure(token.version == *version || is_moved, || {
            format!("session of {}: {}", token.version, bench.describe(dispatch))
        })?;
    }
    Ok(())
}

/// Each request is billed once: every answered request has a bill, every billed request ran, and all entries compute
/// the same totals.
fn billed_once(bench: &Bench) -> Result<(), String> {
    let counted: IndexSet<&Key> = bench.log.bills().map(|bill| &bill.key).collect();
    for call in bench.calls.iter().filter(|call| call.is_answered()) {
        ensure(counted.contains(&Bench::key(call)), || {
            let (node, at_risk) = (call.instance.node, &bench.journal.at_risk);
            let risk = at_risk.iter().any(|note| note.contains(&*call.spec.id));
            format!(
                "{} answered by entry-{node} has no bill (noted at risk: {risk})",
                call.spec.id
            )
        })?;
    }
    let runs: IndexSet<&str> = bench.journal.runs.iter().map(|run| &*run.request).collect();
    for key in &counted {
        let known = bench.calls.iter().any(|call| Bench::key(call) == **key);
        ensure(known && runs.contains(&*key.request), || {
            format!("{key:?} is billed but never ran")
        })?;
    }
    let mut requests: IndexMap<&str, u64> = IndexMap::new();
    for key in &counted {
        *requests.entry(&key.customer).or_default() += 1;
    }
    for node in &bench.nodes {
        let Some(entry) = &node.entry else { continue };
        let sums = entry.state().ledger.customer_totals();
        for (customer, count) in &requests {
            let sum = sums.get(*customer).map_or(0, |sum| sum.requests);
            ensure(sum == *count, || {
                format!(
                    "{} counts {sum} bills of {customer}, but the log has {count}",
                    node.settings.entry
                )
            })?;
        }
    }
    Ok(())
}

/// A starting upstream receives no more requests than its capacity.
fn starting(bench: &Bench) -> Result<(), String> {
    let overloads = &bench.journal.overloads;
    let worst = overloads
        .iter()
        .max_by_key(|load| (load.crashed, load.in_flight - load.capacity));
    let Some(worst) = worst else { return Ok(()) };
    Err(format!(
        "{} had {} requests with a capacity of {} at {:?}; overloads: {}, crashed: {}",
        worst.upstream,
        worst.in_flight,
        worst.capacity,
        bench.since_start(worst.at),
        overloads.len(),
        worst.crashed,
    ))
}

/// A caller receives the complete answer to its own request or an error, never a partial answer marked as complete.
fn whole_answer(bench: &Bench) -> Result<(), String> {
    for call in &bench.calls {
        let (whole, body) = (call.spec.whole(), &call.body);
        let is_right = match (&call.outcome, call.status) {
            (Outcome::Finished, Some(200)) => *body == whole,
            (Outcome::Finished, _) => body.is_empty(),
            _ => whole.starts_with(body),
        };
        ensure(is_right, || {
            let body = String::from_utf8_lossy(body);
            format!("{} {:?} with {body:?}", call.spec.id, call.outcome)
        })?;
        let is_late = call.deadline() + ANSWER_GRACE < bench.now.instant;
        ensure(call.outcome != Outcome::Open || !is_late, || {
            format!(
                "{} at entry-{} received neither an answer nor an error",
                call.spec.id, call.instance.node
            )
        })?;
    }
    Ok(())
}

/// A refusal as "not run" is true for its attempt, and for a request of which every attempt was refused so.
fn not_run(bench: &Bench) -> Result<(), String> {
    let ran: IndexSet<_> = bench.journal.runs.iter().map(|run| &run.tag).collect();
    let is_refused = |call: &Call| matches!(call.outcome, Outcome::Refused(_, Ran::No));
    for dispatch in &bench.journal.dispatches {
        let is_false = is_refused(&bench.calls[dispatch.call]) && ran.contains(&dispatch.tag);
        ensure(!is_false, || {
            format!("refused as not run: {}", bench.describe(dispatch))
        })?;
    }
    // An attempt must not be refused as "not run" either after an earlier attempt of the same request has run.
    for dispatch in bench
        .journal
        .dispatches
        .iter()
        .filter(|it| ran.contains(&it.tag))
    {
        let sent = &bench.calls[dispatch.call];
        let later = bench.calls.iter().find(|call| {
            let is_later = call.spec.id == sent.spec.id && call.attempt > sent.attempt;
            is_later && call.sent_at >= dispatch.at && is_refused(call)
        });
        ensure(later.is_none(), || {
            format!(
                "a later attempt was refused as not run: {}",
                bench.describe(dispatch)
            )
        })?;
    }
    let runs: IndexSet<_> = bench.journal.runs.iter().map(|run| &run.request).collect();
    for id in runs {
        let mut attempts = bench.calls.iter().filter(|call| call.spec.id == *id);
        ensure(!attempts.all(is_refused), || {
            format!("{id} ran, but every attempt was refused as not run")
        })?;
    }
    Ok(())
}

/// A request that is not idempotent runs at most once.
fn at_most_once(bench: &Bench) -> Result<(), String> {
    let mut seen = IndexMap::new();
    for run in &bench.journal.runs {
        let is_once =
            |call: &Call| call.spec.operation == Operation::Book && call.spec.id == run.request;
        if !bench.calls.iter().any(is_once) {
            continue;
        }
        if let Some(first) = seen.insert(&run.request, &run.tag) {
            return Err(format!(
                "{} ran as {first} and as {} at {}",
                run.request, run.tag, run.upstream
            ));
        }
    }
    Ok(())
}

/// A leaving upstream receives no new requests.
fn leaving(bench: &Bench) -> Result<(), String> {
    for dispatch in &bench.journal.dispatches {
        let leaving_since = bench
            .upstreams
            .get(&dispatch.upstream)
            .and_then(|upstream| upstream.leaving_since);
        let is_late = leaving_since
            .is_some_and(|leaving_since| leaving_since + PROPAGATION_BOUND < dispatch.at);
        ensure(!is_late, || bench.describe(dispatch))?;
    }
    Ok(())
}

/// A graceful shutdown cuts no request.
fn shutdown(bench: &Bench) -> Result<(), String> {
    let cut = bench.calls.iter().find(|call| call.outcome == Outcome::Cut);
    let Some(call) = cut else { return Ok(()) };
    Err(format!(
        "entry-{} ended with {} open",
        call.instance.node, call.spec.id
    ))
}

/// An accepted configuration is in force at every entry within the bound and never reverts.
fn in_force(bench: &Bench) -> Result<(), String> {
    let mut newest = IndexMap::new();
    for applied in &bench.journal.applied {
        let before = newest
            .insert(applied.instance, applied.generation)
            .unwrap_or(0);
        ensure(before <= applied.generation, || {
            format!(
                "entry-{} reverted from generation {before} to {}",
                applied.instance.node, applied.generation
            )
        })?;
    }
    for dispatch in &bench.journal.dispatches {
        let mut accepted = bench.journal.accepted.iter().rev();
        let due = accepted.find(|rules| rules.at + PROPAGATION_BOUND < dispatch.at);
        let due = due.map_or(0, |rules| rules.generation);
        ensure(dispatch.generation >= due, || {
            format!(
                "generation {due} must be in force: {}",
                bench.describe(dispatch)
            )
        })?;
    }
    let due = bench.log.generation();
    for (index, node) in bench.nodes.iter().enumerate() {
        let has = bench.generation(index);
        ensure(node.entry.is_none() || has == due, || {
            format!("entry-{index} ends with generation {has}, but the log has {due}")
        })?;
    }
    Ok(())
}
