use std::time::{Duration, Instant};

/// Names one job of a backlog.
pub type JobId = u64;

/// Prompts of this entry that an upstream has before it and has not read yet.
#[derive(Debug, Default)]
pub struct Backlog {
    last: JobId,
    jobs: Vec<Job>,
}

#[derive(Clone, Copy, Debug)]
struct Job {
    id: JobId,
    ends: Instant,
}

impl Backlog {
    /// Time until the upstream is likely to have read all of it.
    pub fn left(&self, now: Instant) -> Duration {
        let ends = self.jobs.iter().map(|job| job.ends).max();
        ends.map_or(Duration::ZERO, |ends| ends.saturating_duration_since(now))
    }

    /// Prompts that take longer than was expected.
    pub fn overdue(&self, now: Instant) -> usize {
        self.jobs.iter().filter(|job| job.ends < now).count()
    }

    /// Adds a prompt that takes a time to read, after what is there already.
    pub fn add(&mut self, now: Instant, takes: Duration) -> JobId {
        self.last += 1;
        let ends = now + self.left(now) + takes;
        let id = self.last;
        self.jobs.push(Job { id, ends });
        id
    }

    /// A prompt was read, or is not to be read any more.
    pub fn remove(&mut self, id: JobId) {
        self.jobs.retain(|job| job.id != id);
    }
}
