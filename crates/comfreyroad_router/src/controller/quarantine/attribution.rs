//! Attribution of crashes to the prompt parts that cause them.

use std::time::Instant;

use indexmap::IndexMap;

use super::answers::Answers;
use super::crash::{Crash, EARLY_EVIDENCE, outages, series};
use crate::id::PromptPartId;

/// Evidence of successive crashes from which they are attributed to a part: three at the beginning of the answer.
const MIN_EVIDENCE: u32 = 3 * EARLY_EVIDENCE;
/// What a crash without a part says against it.
const OUTAGE_EVIDENCE: u32 = 1;

/// A part that crashes engines.
#[derive(Debug)]
pub(super) struct Cause {
    pub(super) part: PromptPartId,
    pub(super) last_crash_at: Instant,
}

/// The parts that explain the crashes: first the most likely one, until no part stands in enough of the crashes that are left.
/// The crash of an upstream under one part explains the failures of all other requests there. A part that is known as a cause stays
/// one, whatever else crashes later.
pub(super) fn causes(
    crashes: &[&Crash],
    answers: &Answers,
    is_known: impl Fn(&PromptPartId) -> bool,
) -> Vec<Cause> {
    let mut unexplained = crashes.to_vec();
    let mut causes = Vec::new();
    while let Some(cause) = most_likely_cause(crashes, &unexplained, answers, &is_known) {
        let is_explained = |crash: &Crash| {
            let mut same_upstream = crashes.iter().filter(|it| it.has_same_upstream(crash));
            same_upstream.any(|it| it.parts.contains(&cause.part))
        };
        unexplained.retain(|crash| !is_explained(crash));
        causes.push(cause);
    }
    causes
}

/// The part that most likely explains the unexplained crashes. Among parts that stand in the same crashes it is the deepest one,
/// which affects the fewest other requests.
fn most_likely_cause(
    crashes: &[&Crash],
    unexplained: &[&Crash],
    answers: &Answers,
    is_known: impl Fn(&PromptPartId) -> bool,
) -> Option<Cause> {
    let cause = |(part, depth): (&PromptPartId, usize)| {
        let own = series_of(part, unexplained, answers);
        let is_suspect = evidence(&own) >= MIN_EVIDENCE
            && (is_known(part) || outweighs_others(part, &own, unexplained));
        let series = series_of(part, crashes, answers);
        let last = series.last().filter(|_| is_suspect)?;
        // A part with which answers ever got further is less likely to be the cause.
        let got_further = |crash: &&Crash| answers.beyond(part, crash).is_some();
        let weight = if series.iter().any(got_further) { 1 } else { 2 };
        let cause = Cause {
            part: part.clone(),
            last_crash_at: last.broken_at,
        };
        Some(((evidence(&series) * weight, depth), cause))
    };
    let causes = suspects(unexplained).into_iter().filter_map(cause);
    let most_likely = causes.max_by_key(|(likelihood, _)| *likelihood);
    most_likely.map(|(_, cause)| cause)
}

/// The parts that stand in enough of the crashes, and their depths in the prompts.
fn suspects<'a>(crashes: &[&'a Crash]) -> Vec<(&'a PromptPartId, usize)> {
    let mut parts: IndexMap<&PromptPartId, (usize, u32)> = IndexMap::new();
    for crash in crashes {
        for (depth, part) in crash.parts.iter().enumerate() {
            let (known_depth, evidence) = parts.entry(part).or_default();
            *known_depth = depth.max(*known_depth);
            *evidence += crash.evidence();
        }
    }
    let suspects = parts.into_iter();
    let suspects = suspects.filter(|(_, (_, evidence))| *evidence >= MIN_EVIDENCE);
    suspects.map(|(part, (depth, _))| (part, depth)).collect()
}

/// Whether the crashes with a part say enough for it beside the earlier ones without it, which show that upstreams also crash for
/// another reason and break off the streams that they happen to serve.
fn outweighs_others(part: &PromptPartId, own: &[&Crash], crashes: &[&Crash]) -> bool {
    let Some(last) = own.last() else {
        return false;
    };
    let has_part = |outage: &Crash| {
        let mut same_upstream = crashes.iter().filter(|it| it.has_same_upstream(outage));
        same_upstream.any(|it| it.parts.contains(part))
    };
    let earlier = outages(crashes.to_vec()).into_iter();
    let earlier = earlier.take_while(|it| it.broken_at <= last.broken_at);
    let others = earlier.filter(|it| !has_part(it)).count();
    evidence(own) >= MIN_EVIDENCE + OUTAGE_EVIDENCE * others as u32
}

/// What a series of crashes says for a part that stands in all of them. One that came at the same time as the one before says half as
/// much: upstreams that fail together may do so one after the other.
fn evidence(series: &[&Crash]) -> u32 {
    let first = series.first().map_or(0, |crash| crash.evidence());
    let later = series.windows(2).map(|pair| match pair {
        [earlier, crash] if crash.is_simultaneous(earlier) => crash.evidence() / 2,
        [.., crash] => crash.evidence(),
        [] => 0,
    });
    first + later.sum::<u32>()
}

/// The successive crashes with a part, of requests sent after the last answer to a prompt with it that got further.
fn series_of<'a>(part: &PromptPartId, crashes: &[&'a Crash], answers: &Answers) -> Vec<&'a Crash> {
    let counts = |crash: &&&Crash| crash.parts.contains(part) && !answers.exonerates(part, crash);
    series(crashes.iter().filter(counts).copied().collect())
}
