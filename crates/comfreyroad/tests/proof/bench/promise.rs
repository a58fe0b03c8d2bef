//! What must always hold, held against the journal of a whole run. Each check gives the evidence where it fails.

use std::time::{Duration, Instant};

use comfreyroad::record::Key;
use comfreyroad::refusal::Ran;
use comfreyroad::rules::Rules;
use comfreyroad::session::Token;
use indexmap::{IndexMap, IndexSet};

use super::caller::Call;
use super::journal::{Hold, Sending};
use super::{Ask, Bench, Outcome};

/// The few seconds after which a change must have had its effect.
const BOUND: Duration = Duration::from_secs(4);
/// Time after its deadline by which a caller must have been told something.
const GRACE: Duration = Duration::from_secs(1);

/// One check: its name and how it is done.
pub(crate) type Promise = (&'static str, fn(&Bench) -> Result<(), String>);

/// All checks.
pub(crate) const ALL: [Promise; 13] = [
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

/// Holds every promise against a run; the names of the broken ones with the evidence.
pub(crate) fn all(bench: &Bench) -> Vec<(&'static str, String)> {
    let broken = |(name, check): &Promise| Some((*name, check(bench).err()?));
    ALL.iter().filter_map(broken).collect()
}

fn ensure(holds: bool, evidence: impl FnOnce() -> String) -> Result<(), String> {
    if holds { Ok(()) } else { Err(evidence()) }
}

impl Bench {
    /// A moment as time since the first publish.
    fn since_start(&self, at: Instant) -> Duration {
        let first = self.journal.accepted.first();
        first.map_or(Duration::ZERO, |first| at - first.at)
    }

    /// The rules that a sending may have gone by: in force at its moment, or until a bound before it.
    fn rules_for(&self, at: Instant) -> impl Iterator<Item = &Rules> {
        let accepted = &self.journal.accepted;
        let oldest = at.checked_sub(BOUND).unwrap_or(at);
        let before = accepted.iter().rposition(|rules| rules.at <= oldest);
        let window = accepted.iter().skip(before.unwrap_or(0));
        window
            .take_while(move |rules| rules.at <= at)
            .map(|rules| &*rules.rules)
    }

    /// When a version was held and no publish had lifted it by a moment.
    fn held_since(&self, version: &str, at: Instant) -> Option<Instant> {
        let publishes = || self.journal.accepted.iter().map(|rules| rules.at);
        let holds = self.journal.holds.iter();
        let counts = |hold: &&Hold| {
            let is_lifted = publishes().any(|lifted| hold.at < lifted && lifted <= at);
            *hold.version == *version && hold.at <= at && !hold.is_lifted && !is_lifted
        };
        holds.filter(counts).map(|hold| hold.at).min()
    }

    /// Whether an entry may go by a hold at a moment: while it counts, and until a bound after it was lifted.
    fn may_be_held(&self, version: &str, at: Instant) -> bool {
        let holds = self.journal.holds.iter();
        let mut before = holds.filter(|hold| *hold.version == *version && hold.at <= at);
        before.any(|hold| {
            let mut publishes = self.journal.accepted.iter();
            let lifted = publishes.find(|rules| rules.at > hold.at);
            lifted.is_none_or(|lifted| at <= lifted.at + BOUND)
        })
    }

    fn describe(&self, sending: &Sending) -> String {
        format!(
            "{} ({}) of {} to {} {:?} by entry-{} at {:?} under generation {}",
            self.calls[sending.call].spec.id,
            sending.tag,
            sending.customer,
            sending.upstream,
            sending.version,
            sending.post.node,
            self.since_start(sending.at),
            sending.generation,
        )
    }

    /// Each sending goes by some rules of its moment.
    fn each_sending(&self, may: impl Fn(&Sending, &Rules) -> bool) -> Result<(), String> {
        for sending in &self.journal.sendings {
            let is_fine = self.rules_for(sending.at).any(|rules| may(sending, rules));
            ensure(is_fine, || self.describe(sending))?;
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

/// A request runs only on a model and version that its customer allows.
fn allowed(bench: &Bench) -> Result<(), String> {
    bench.each_sending(|sending, rules| {
        let Some(version) = &sending.version else {
            return true;
        };
        let version = rules.versions.get(version);
        let customer = rules.customers.get(&sending.customer);
        customer
            .zip(version)
            .is_some_and(|(customer, version)| customer.allows(version))
    })
}

/// A withdrawn version gets no new work.
fn withdrawn(bench: &Bench) -> Result<(), String> {
    bench.each_sending(|sending, rules| {
        let version = sending.version.as_ref();
        version.is_none_or(|version| rules.is_active(version))
    })
}

/// A version that is held gets no new work until a publish lifts it.
fn held(bench: &Bench) -> Result<(), String> {
    for sending in &bench.journal.sendings {
        let Some(version) = &sending.version else {
            continue;
        };
        let since = bench.held_since(version, sending.at);
        let is_late = since.is_some_and(|since| since + BOUND < sending.at);
        ensure(!is_late, || bench.describe(sending))?;
    }
    Ok(())
}

/// A zone that is out gets no new work.
fn zone_out(bench: &Bench) -> Result<(), String> {
    bench.each_sending(|sending, rules| {
        let upstream = bench.upstreams.get(&sending.upstream);
        upstream.is_some_and(|upstream| rules.is_zone_in(&upstream.zone))
    })
}

/// A session keeps its version, unless that is withdrawn.
fn session(bench: &Bench) -> Result<(), String> {
    for sending in &bench.journal.sendings {
        let Some(version) = &sending.version else {
            continue;
        };
        let call = &bench.calls[sending.call];
        let Some(text) = &call.spec.session else {
            continue;
        };
        let keys = &bench.nodes[sending.post.node].settings.session_keys;
        let Some(token) = Token::verify(text, keys) else {
            return Err(format!(
                "{} was sent with a token that does not open",
                call.spec.id
            ));
        };
        let mut rules = bench.rules_for(sending.at);
        let is_moved = rules.any(|rules| !rules.is_active(&token.version))
            || bench.may_be_held(&token.version, sending.at);
        ensure(token.version == *version || is_moved, || {
            format!("session of {}: {}", token.version, bench.describe(sending))
        })?;
    }
    Ok(())
}

/// Each request is billed once: answered means billed, billed means run, and all entries count the same.
fn billed_once(bench: &Bench) -> Result<(), String> {
    let counted: IndexSet<&Key> = bench.log.bills().map(|bill| &bill.key).collect();
    for call in bench.calls.iter().filter(|call| call.is_answered()) {
        ensure(counted.contains(&Bench::key(call)), || {
            let (node, at_risk) = (call.post.node, &bench.journal.at_risk);
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
            format!("bill for {key:?}, which never ran")
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
                    "{} counts {sum} bills of {customer}, the log has {count}",
                    node.settings.entry
                )
            })?;
        }
    }
    Ok(())
}

/// A starting upstream gets no more than it bears.
fn starting(bench: &Bench) -> Result<(), String> {
    let overloads = &bench.journal.overloads;
    let worst = overloads
        .iter()
        .max_by_key(|load| (load.fell_over, load.given - load.bears));
    let Some(worst) = worst else { return Ok(()) };
    Err(format!(
        "{} got {} where it bears {} at {:?}, {} times, fell over: {}",
        worst.upstream,
        worst.given,
        worst.bears,
        bench.since_start(worst.at),
        overloads.len(),
        worst.fell_over,
    ))
}

/// A caller gets the whole answer to its own request, or is told; never a part that claims to be whole.
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
        let is_late = call.deadline() + GRACE < bench.now.instant;
        ensure(call.outcome != Outcome::Open || !is_late, || {
            format!(
                "{} at entry-{} was never told anything",
                call.spec.id, call.post.node
            )
        })?;
    }
    Ok(())
}

/// A refusal that says "not run" is true, of its try and of a request whose every try ended so.
fn not_run(bench: &Bench) -> Result<(), String> {
    let ran: IndexSet<_> = bench.journal.runs.iter().map(|run| &run.tag).collect();
    let is_refused = |call: &Call| matches!(call.outcome, Outcome::Refused(_, Ran::No));
    for sending in &bench.journal.sendings {
        let is_false = is_refused(&bench.calls[sending.call]) && ran.contains(&sending.tag);
        ensure(!is_false, || {
            format!("refused as not run: {}", bench.describe(sending))
        })?;
    }
    // Nor may an attempt say so after another one of its caller's, begun earlier, has run.
    for sending in bench
        .journal
        .sendings
        .iter()
        .filter(|it| ran.contains(&it.tag))
    {
        let sent = &bench.calls[sending.call];
        let later = bench.calls.iter().find(|call| {
            let is_later = call.spec.id == sent.spec.id && call.attempt > sent.attempt;
            is_later && call.asked >= sending.at && is_refused(call)
        });
        ensure(later.is_none(), || {
            format!(
                "a later attempt was refused as not run: {}",
                bench.describe(sending)
            )
        })?;
    }
    let runs: IndexSet<_> = bench.journal.runs.iter().map(|run| &run.request).collect();
    for id in runs {
        let mut tries = bench.calls.iter().filter(|call| call.spec.id == *id);
        ensure(!tries.all(is_refused), || {
            format!("{id} ran, and every try was refused as not run")
        })?;
    }
    Ok(())
}

/// A request that may not be repeated runs at most once.
fn at_most_once(bench: &Bench) -> Result<(), String> {
    let mut seen = IndexMap::new();
    for run in &bench.journal.runs {
        let is_once = |call: &Call| call.spec.ask == Ask::Book && call.spec.id == run.request;
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

/// A leaving upstream gets no new work.
fn leaving(bench: &Bench) -> Result<(), String> {
    for sending in &bench.journal.sendings {
        let left = bench
            .upstreams
            .get(&sending.upstream)
            .and_then(|upstream| upstream.left);
        let is_late = left.is_some_and(|left| left + BOUND < sending.at);
        ensure(!is_late, || bench.describe(sending))?;
    }
    Ok(())
}

/// A graceful shutdown cuts no request.
fn shutdown(bench: &Bench) -> Result<(), String> {
    let cut = bench.calls.iter().find(|call| call.outcome == Outcome::Cut);
    let Some(call) = cut else { return Ok(()) };
    Err(format!(
        "entry-{} ended with {} open",
        call.post.node, call.spec.id
    ))
}

/// An accepted configuration is in force everywhere within the bound and never reverts.
fn in_force(bench: &Bench) -> Result<(), String> {
    let mut newest = IndexMap::new();
    for enacted in &bench.journal.enacted {
        let before = newest.insert(enacted.post, enacted.generation).unwrap_or(0);
        ensure(before <= enacted.generation, || {
            format!(
                "entry-{} went from {before} back to {}",
                enacted.post.node, enacted.generation
            )
        })?;
    }
    for sending in &bench.journal.sendings {
        let mut accepted = bench.journal.accepted.iter().rev();
        let due = accepted.find(|rules| rules.at + BOUND < sending.at);
        let due = due.map_or(0, |rules| rules.generation);
        ensure(sending.generation >= due, || {
            format!("{due} was due: {}", bench.describe(sending))
        })?;
    }
    let due = bench.log.generation();
    for (index, node) in bench.nodes.iter().enumerate() {
        let has = bench.generation(index);
        ensure(node.entry.is_none() || has == due, || {
            format!("entry-{index} ends with generation {has}, the log has {due}")
        })?;
    }
    Ok(())
}
