use std::time::{Duration, Instant};

use super::intervals;
use crate::record::Topic;

/// The store does not answer this entry. One call at a time probes it, as a store that rejects calls is charged and loaded by
/// each of them.
#[derive(Debug)]
pub(super) struct Outage {
    failures: u32,
    first_topic: Topic,
    // The topic of the last probe.
    last_topic: Option<Topic>,
    next_probe_at: Instant,
}

impl Outage {
    /// Starts with the failure of a call.
    pub(super) fn new(now: Instant, topic: Topic, max_backoff: Duration) -> Self {
        let mut outage = Self {
            failures: 0,
            first_topic: topic,
            last_topic: None,
            next_probe_at: now,
        };
        outage.back_off(now, max_backoff);
        outage
    }

    /// Handles the failure of a probe.
    pub(super) fn on_failure(&mut self, now: Instant, topic: Topic, max_backoff: Duration) {
        self.last_topic = Some(topic);
        self.back_off(now, max_backoff);
    }

    /// Schedules the next probe with exponential backoff.
    fn back_off(&mut self, now: Instant, max_backoff: Duration) {
        let backoff = intervals::INITIAL_BACKOFF * 2_u32.saturating_pow(self.failures.min(8));
        self.failures += 1;
        self.next_probe_at = now + backoff.min(max_backoff);
    }

    /// The topic to probe, if a probe is due: first the one that failed, then all in turn, because only some of them may be
    /// lost.
    pub(super) fn due_probe(&self, now: Instant, topics: &[Topic]) -> Option<Topic> {
        if self.next_probe_at > now {
            return None;
        }
        let position = |topic| topics.iter().position(|it| *it == topic);
        let next = match self.last_topic {
            None => position(self.first_topic),
            Some(last) => position(last).map(|last| (last + 1) % topics.len()),
        };
        topics.get(next.unwrap_or(0)).copied()
    }
}
