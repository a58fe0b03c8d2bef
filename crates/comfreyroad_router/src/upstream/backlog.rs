use std::time::{Duration, Instant};

/// Names one job of a backlog.
pub type JobId = u64;

/// Prompts that an upstream is known to have before it and has not read yet.
#[derive(Debug, Default)]
pub struct Backlog {
    last: JobId,
    jobs: Vec<Job>,
}

#[derive(Clone, Copy, Debug)]
struct Job {
    id: JobId,
    ends: Instant,
    // Other entries' jobs are over when their time is; they do not tell.
    is_own: bool,
}

impl Backlog {
    /// Time until the upstream is likely to have read all of it.
    pub fn left(&self, now: Instant) -> Duration {
        let ends = self.jobs.iter().map(|job| job.ends).max();
        ends.map_or(Duration::ZERO, |ends| ends.saturating_duration_since(now))
    }

    /// Own prompts that take longer than was expected.
    pub fn overdue(&self, now: Instant) -> usize {
        let is_overdue = |job: &&Job| job.is_own && job.ends < now;
        self.jobs.iter().filter(is_overdue).count()
    }

    /// Adds a prompt that takes a time to read, after what is there already.
    pub fn add(&mut self, now: Instant, takes: Duration, is_own: bool) -> JobId {
        self.jobs.retain(|job| job.is_own || job.ends > now);
        self.last += 1;
        let ends = now + self.left(now) + takes;
        let id = self.last;
        self.jobs.push(Job { id, ends, is_own });
        id
    }

    /// A prompt was read, or is not to be read any more.
    pub fn remove(&mut self, id: JobId) {
        self.jobs.retain(|job| job.id != id);
    }
}
