//! Attribution of crashes to the prompt parts that cause them.

use std::time::Instant;

use indexmap::IndexMap;

use super::crash::{Crash, series};
use crate::id::PromptPartId;

/// Number of successive crashes that are attributed to a part.
const MIN_CRASHES: usize = 3;

/// A part that crashes engines.
#[derive(Debug)]
pub(super) struct Cause {
    pub(super) part: PromptPartId,
    pub(super) last_crash_at: Instant,
}

/// When an upstream last began to answer a prompt with a part.
pub(super) type Answers = IndexMap<PromptPartId, Instant>;

/// The parts that explain the crashes: first the most likely one, until no part stands in enough of the crashes that are left.
/// The crash of an upstream under one part explains the failures of all other requests there.
pub(super) fn causes(crashes: &[&Crash], answers: &Answers) -> Vec<Cause> {
    let mut unexplained = crashes.to_vec();
    let mut causes = Vec::new();
    while let Some(cause) = most_likely_cause(crashes, &unexplained, answers) {
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
) -> Option<Cause> {
    let cause = |(part, depth): (&PromptPartId, usize)| {
        let is_suspect = series_of(part, unexplained, answers).len() >= MIN_CRASHES;
        let series = series_of(part, crashes, answers);
        let last = series.last().filter(|_| is_suspect)?;
        // A part that was answered before its first crash is less likely to be the cause.
        let weight = if answers.contains_key(part) { 1 } else { 2 };
        let cause = Cause {
            part: part.clone(),
            last_crash_at: last.broken_at,
        };
        Some(((series.len() * weight, depth), cause))
    };
    let causes = suspects(unexplained).into_iter().filter_map(cause);
    let most_likely = causes.max_by_key(|(likelihood, _)| *likelihood);
    most_likely.map(|(_, cause)| cause)
}

/// The parts that stand in enough of the crashes, and their depths in the prompts.
fn suspects<'a>(crashes: &[&'a Crash]) -> Vec<(&'a PromptPartId, usize)> {
    let mut parts: IndexMap<&PromptPartId, (usize, usize)> = IndexMap::new();
    for crash in crashes {
        for (depth, part) in crash.parts.iter().enumerate() {
            let (known_depth, count) = parts.entry(part).or_default();
            *known_depth = depth.max(*known_depth);
            *count += 1;
        }
    }
    let suspects = parts.into_iter();
    let suspects = suspects.filter(|(_, (_, count))| *count >= MIN_CRASHES);
    suspects.map(|(part, (depth, _))| (part, depth)).collect()
}

/// The successive crashes with a part, of requests sent after the last answer to a prompt with it.
fn series_of<'a>(part: &PromptPartId, crashes: &[&'a Crash], answers: &Answers) -> Vec<&'a Crash> {
    let answered_at = answers.get(part);
    let counts = |crash: &&&Crash| {
        crash.parts.contains(part) && answered_at.is_none_or(|at| crash.sent_at > *at)
    };
    series(crashes.iter().filter(counts).copied().collect())
}
