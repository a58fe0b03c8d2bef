use std::time::{Duration, Instant};

use crate::work::Demand;

/// Identifies one request of a backlog.
pub type JobId = u64;

/// What this entry has sent to an upstream and is not finished.
#[derive(Debug, Default)]
pub struct Backlog {
    last_id: JobId,
    jobs: Vec<Job>,
}

#[derive(Clone, Copy, Debug)]
struct Job {
    id: JobId,
    phase: Phase,
    /// When the answer is expected to be complete.
    ends_at: Instant,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// The prompt is processed, which is expected to be finished at a time.
    Prefill { finishes_at: Instant },
    /// Events arrive.
    Decode,
}

impl Backlog {
    /// Expected time until all prefills are finished.
    pub fn time_left(&self, now: Instant) -> Duration {
        let last = self.prefills().max();
        last.map_or(Duration::ZERO, |last| last.saturating_duration_since(now))
    }

    /// Number of prompts whose prefill takes longer than expected.
    pub fn overdue_prefills(&self, now: Instant) -> usize {
        self.prefills().filter(|at| *at < now).count()
    }

    /// Time in slots that all requests are still expected to take. One that is overdue is expected to take as long again as it is
    /// overdue: nothing is known but that it is longer than others.
    pub fn remaining_work(&self, now: Instant) -> Duration {
        let left = |job: &Job| {
            let overdue = now.saturating_duration_since(job.ends_at);
            job.ends_at.saturating_duration_since(now).max(overdue)
        };
        self.jobs.iter().map(left).sum()
    }

    fn prefills(&self) -> impl Iterator<Item = Instant> {
        self.jobs.iter().filter_map(|job| match job.phase {
            Phase::Prefill { finishes_at } => Some(finishes_at),
            Phase::Decode => None,
        })
    }

    /// Adds a request, whose prompt is queued behind those already there.
    pub fn add(&mut self, now: Instant, demand: Demand) -> JobId {
        self.last_id += 1;
        let finishes_at = now + self.time_left(now) + demand.prefill;
        let id = self.last_id;
        self.jobs.push(Job {
            id,
            phase: Phase::Prefill { finishes_at },
            ends_at: finishes_at + demand.decode,
        });
        id
    }

    /// Records that the first event of a request has arrived.
    pub fn finish_prefill(&mut self, now: Instant, id: JobId) {
        let Some(job) = self.jobs.iter_mut().find(|job| job.id == id) else {
            return;
        };
        if let Phase::Prefill { finishes_at } = job.phase {
            let decode = job.ends_at.saturating_duration_since(finishes_at);
            job.phase = Phase::Decode;
            job.ends_at = now + decode;
        }
    }

    /// Removes a request that is finished or no longer needed.
    pub fn remove(&mut self, id: JobId) {
        self.jobs.retain(|job| job.id != id);
    }
}
