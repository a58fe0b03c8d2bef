use std::time::{Duration, Instant};

/// Identifies one prompt of a backlog.
pub type PrefillId = u64;

/// Prompts that this entry has sent to an upstream and whose prefill is not finished.
#[derive(Debug, Default)]
pub struct Backlog {
    last_id: PrefillId,
    prompts: Vec<Prompt>,
}

#[derive(Clone, Copy, Debug)]
struct Prompt {
    id: PrefillId,
    finishes_at: Instant,
}

impl Backlog {
    /// Expected time until all prefills are finished.
    pub fn time_left(&self, now: Instant) -> Duration {
        let last = self.prompts.iter().map(|prompt| prompt.finishes_at).max();
        last.map_or(Duration::ZERO, |last| last.saturating_duration_since(now))
    }

    /// Number of prompts whose prefill takes longer than expected.
    pub fn overdue_prefills(&self, now: Instant) -> usize {
        self.prompts
            .iter()
            .filter(|prompt| prompt.finishes_at < now)
            .count()
    }

    /// Adds a prompt with its expected prefill time, queued behind the prompts already there.
    pub fn add(&mut self, now: Instant, prefill_time: Duration) -> PrefillId {
        self.last_id += 1;
        let finishes_at = now + self.time_left(now) + prefill_time;
        let id = self.last_id;
        self.prompts.push(Prompt { id, finishes_at });
        id
    }

    /// Removes a prompt whose prefill is finished or no longer needed.
    pub fn remove(&mut self, id: PrefillId) {
        self.prompts.retain(|prompt| prompt.id != id);
    }
}
