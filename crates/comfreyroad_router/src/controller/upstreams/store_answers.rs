use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Time for which answers are remembered.
const HISTORY: Duration = Duration::from_secs(5);
/// Minimum time between two remembered answers.
const RESOLUTION: Duration = Duration::from_millis(50);

/// When the store has answered this entry or another one, as far as is known. An outage of the store is a time without answers.
#[derive(Debug, Default)]
pub(super) struct StoreAnswers {
    // Sorted by time.
    answered_at: VecDeque<Instant>,
}

impl StoreAnswers {
    /// Remembers an answer.
    pub(super) fn record(&mut self, at: Instant) {
        let index = self.answered_at.partition_point(|it| *it < at);
        let is_near = |it: &Instant| it.max(&at).duration_since(*it.min(&at)) < RESOLUTION;
        let neighbours = [index.checked_sub(1), Some(index)].into_iter().flatten();
        let mut neighbours = neighbours.filter_map(|index| self.answered_at.get(index));
        if neighbours.any(is_near) {
            return;
        }
        self.answered_at.insert(index, at);
        let newest = self.answered_at.back().copied().unwrap_or(at);
        self.answered_at.retain(|it| *it + HISTORY > newest);
    }

    /// Whether an answer is known from after `from` and before `to`.
    pub(super) fn any_between(&self, from: Instant, to: Instant) -> bool {
        self.answered_at.iter().any(|it| *it > from && *it < to)
    }

    /// Whether an answer is known from after an instant.
    pub(super) fn any_after(&self, from: Instant) -> bool {
        self.answered_at.iter().any(|it| *it > from)
    }
}
