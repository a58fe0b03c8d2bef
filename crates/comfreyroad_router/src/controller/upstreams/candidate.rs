//! What an upstream still has to do, and when it would answer a request.
//!
//! Answers the load pattern in which requests that look alike cost very different amounts of work, and servers differ in speed: the
//! number of open requests alone says little about when the next one is answered.

use std::time::{Duration, Instant};

use crate::upstream::Upstream;
use crate::work::{Demand, Estimate, bounded};

/// Delay of a step by each request that runs beside this one, as the steps of a larger batch take longer.
const BATCH_COST_PER_REQUEST: Duration = Duration::from_millis(4);
/// Expected delay of a prompt behind each one whose prefill takes longer than predicted.
const OVERDUE_PROMPT_COST: Duration = Duration::from_millis(150);
/// Fraction (1/2) of its work that a request of another entry still has before it, on average.
const MEAN_PROGRESS_DIVISOR: f64 = 2.0;
/// Expected delay by each request that waits at an engine without a free slot, if only requests are counted.
const QUEUE_COST_PER_REQUEST: Duration = Duration::from_millis(50);
/// Cost of a cache miss beyond the prefill time, if only requests are counted: the compute that is spent on the prompt once more.
const CACHE_MISS_COST: Duration = Duration::from_millis(100);
/// Time that the answers of an upstream take, as a factor of the usual, above which it counts as slow.
const SLOW_FACTOR: f64 = 2.5;
/// Factor on the expected time of a slow upstream.
const SLOW_PENALTY: u32 = 4;
/// Weight (1/8) of a delay of another request's stream, whose pauses may be long, in relation to one of a first event.
const DISTURBANCE_DIVISOR: u32 = 8;
/// Work of a request of which nothing is known.
const DEFAULT_WORK: Duration = Duration::from_secs(1);

/// An upstream that can serve a request.
#[derive(Debug)]
pub(super) struct Candidate<'a> {
    pub(super) upstream: &'a Upstream,
    /// Requests there, of all entries.
    open_requests: f64,
    /// Time in slots that these still take, if work takes its usual time, in seconds.
    remaining_work: f64,
    /// How long work takes there now, as a factor of the usual.
    slowness: f64,
}

impl<'a> Candidate<'a> {
    /// Describes an upstream at which other entries have a number of requests open.
    pub(super) fn new(
        now: Instant,
        upstream: &'a Upstream,
        others: f64,
        mean_work: Option<Duration>,
    ) -> Self {
        let mean_work = mean_work.unwrap_or(DEFAULT_WORK).as_secs_f64();
        Self {
            upstream,
            open_requests: f64::from(upstream.open_requests()) + others,
            remaining_work: upstream.remaining_work(now).as_secs_f64()
                + others * mean_work / MEAN_PROGRESS_DIVISOR,
            slowness: upstream.work_time.factor(now) * upstream.pace.factor(now),
        }
    }

    fn slots(&self) -> f64 {
        f64::from(self.upstream.registration.slots.max(1))
    }

    /// A time that takes some factor longer, at the speed of this upstream.
    fn slowed(&self, usual: Duration, factor: f64) -> Duration {
        bounded(usual.as_secs_f64() * factor * self.slowness)
    }

    /// Requests that would be without a slot if one more came.
    fn excess(&self) -> f64 {
        (self.open_requests + 1.0 - self.slots()).max(0.0)
    }

    /// Time to the first event of a prompt that takes some time to process here, once it has a slot, if work takes its usual time.
    fn busy(&self, now: Instant, prefill: Duration) -> Duration {
        let overdue = OVERDUE_PROMPT_COST * self.upstream.overdue_prefills(now) as u32;
        let batch = BATCH_COST_PER_REQUEST.mul_f64(self.open_requests);
        self.upstream.prefill_backlog(now) + overdue + prefill + batch
    }

    /// Time until a slot is free: the requests before it, at the rate at which slots become free.
    fn wait(&self) -> Duration {
        let excess = self.excess();
        if excess <= 0.0 {
            return Duration::ZERO;
        }
        let mean_left = self.remaining_work / self.open_requests.max(1.0);
        bounded(excess * mean_left / self.slots() * self.slowness)
    }

    /// When a prompt would be answered that takes some time to process here.
    pub(super) fn estimate(&self, now: Instant, prefill: Duration, demand: &Demand) -> Estimate {
        let first_event_at = now + self.wait() + self.slowed(self.busy(now, prefill), 1.0);
        Estimate {
            first_event_at,
            last_event_at: first_event_at + self.decode(demand.decode),
            late_last_event_at: first_event_at + self.decode(demand.late_decode),
        }
    }

    /// Expected time to the first event by the number of requests there, in a pool whose upstreams are all of one speed unless one
    /// is much slower than usual.
    pub(super) fn time_by_requests(
        &self,
        now: Instant,
        demand: &Demand,
        is_preferred: bool,
    ) -> Duration {
        let prefill = if is_preferred {
            demand.cached_prefill
        } else {
            demand.prefill + CACHE_MISS_COST
        };
        let time = self.busy(now, prefill) + QUEUE_COST_PER_REQUEST.mul_f64(self.excess());
        let is_slow = self.upstream.pace.factor(now) > SLOW_FACTOR;
        if is_slow { time * SLOW_PENALTY } else { time }
    }

    /// Delay that the prefill of a prompt adds to the streams of the requests there, weighed like its own.
    pub(super) fn disturbance(&self, prefill: Duration) -> Duration {
        self.slowed(prefill, self.open_requests) / DISTURBANCE_DIVISOR
    }

    /// Expected time from the first event to the last. Requests that are finished long before do not slow it down.
    fn decode(&self, usual: Duration) -> Duration {
        let window = usual.as_secs_f64().max(f64::MIN_POSITIVE);
        let beside = self.open_requests.min(self.remaining_work / window);
        self.slowed(usual, 1.0 + beside / self.slots())
    }

    /// When a plain request would be answered.
    pub(super) fn plain_estimate(&self, now: Instant, demand: &Demand) -> Estimate {
        let queue = self.excess() / self.slots();
        let load = 1.0 + queue + self.open_requests / (4.0 * self.slots());
        let usual = self.upstream.service_time.mean().unwrap_or(demand.decode);
        let answered_at = now + self.slowed(usual, load);
        Estimate {
            first_event_at: answered_at,
            last_event_at: answered_at,
            late_last_event_at: answered_at,
        }
    }
}
