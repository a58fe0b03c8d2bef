use std::time::Instant;

use indexmap::IndexMap;

use super::crash::Crash;
use crate::answer::Milestone;
use crate::id::PromptPartId;

/// Maximum number of parts that are remembered.
const MAX_PARTS: usize = 16 * 1024;

/// When answers to prompts with each part last reached a milestone.
#[derive(Debug, Default)]
pub(super) struct Answers {
    // For each part, the times of the milestones in their order.
    reached_at: IndexMap<PromptPartId, [Option<Instant>; Milestone::ALL.len()]>,
}

impl Answers {
    /// Records that an answer to a prompt with a part has reached a milestone.
    pub(super) fn record(&mut self, part: &PromptPartId, milestone: Milestone, at: Instant) {
        if !self.reached_at.contains_key(part) {
            if self.reached_at.len() >= MAX_PARTS {
                self.reached_at.swap_remove_index(0);
            }
            self.reached_at.insert(part.clone(), Default::default());
        }
        if let Some(times) = self.reached_at.get_mut(part) {
            let known = &mut times[milestone as usize];
            *known = Some(at).max(*known);
        }
    }

    /// The milestones that answers to a part have reached, and when they did last.
    pub(super) fn of(&self, part: &PromptPartId) -> impl Iterator<Item = (Milestone, Instant)> {
        let times = self.reached_at.get(part).copied().unwrap_or_default();
        let reached = Milestone::ALL.into_iter().zip(times);
        reached.filter_map(|(milestone, at)| Some((milestone, at?)))
    }

    /// When an answer to a part last got further than the one that broke off in a crash; `None` if none has.
    pub(super) fn beyond(&self, part: &PromptPartId, crash: &Crash) -> Option<Instant> {
        let beyond = |(milestone, _): &(Milestone, Instant)| Some(*milestone) > crash.milestone;
        self.of(part).filter(beyond).map(|(_, at)| at).max()
    }

    /// Whether answers have shown since that a part is not the cause of a crash.
    pub(super) fn exonerates(&self, part: &PromptPartId, crash: &Crash) -> bool {
        let beyond = self.beyond(part, crash);
        beyond.is_some_and(|at| at >= crash.sent_at)
    }

    /// Whether answers have shown since that no part of the prompt is the cause of a crash.
    pub(super) fn exonerates_all(&self, crash: &Crash) -> bool {
        let mut parts = crash.parts.iter();
        parts.all(|part| self.exonerates(part, crash))
    }
}
