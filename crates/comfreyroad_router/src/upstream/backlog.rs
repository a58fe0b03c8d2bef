use std::time::{Duration, Instant};

/// Names one job of a backlog.
pub type PrefillId = u64;

/// Prompts of this entry that an upstream has before it and has not read yet.
#[derive(Debug, Default)]
pub struct Backlog {
    last: PrefillId,
    jobs: Vec<PendingPrefill>,
}

#[derive(Clone, Copy, Debug)]
struct PendingPrefill {
    id: PrefillId,
    finishes_at: Instant,
}

impl Backlog {
    /// Time until the upstream is likely to have read all of it.
    pub fn time_left(&self, now: Instant) -> Duration {
        let ends = self.jobs.iter().map(|job| job.finishes_at).max();
        ends.map_or(Duration::ZERO, |ends| ends.saturating_duration_since(now))
    }

    /// Prompts that take longer than was expected.
    pub fn overdue_prefills(&self, now: Instant) -> usize {
        self.jobs.iter().filter(|job| job.finishes_at < now).count()
    }

    /// Adds a prompt that takes a time to read, after what is there already.
    pub fn add(&mut self, now: Instant, takes: Duration) -> PrefillId {
        self.last += 1;
        let ends = now + self.time_left(now) + takes;
        let id = self.last;
        self.jobs.push(PendingPrefill {
            id,
            finishes_at: ends,
        });
        id
    }

    /// A prompt was read, or is not to be read any more.
    pub fn remove(&mut self, id: PrefillId) {
        self.jobs.retain(|job| job.id != id);
    }
}
