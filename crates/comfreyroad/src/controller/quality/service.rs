use std::collections::VecDeque;
use std::time::{Duration, Instant};

use indexmap::IndexMap;

use crate::id::CallId;
use crate::quality::Subject;

/// Timeout of a rating request.
const TIMEOUT: Duration = Duration::from_secs(2);
/// Consecutive failed requests after which the service counts as down.
const FAILURES_UNTIL_DOWN: u32 = 2;
/// Time until a service that is down is tried again.
const RETRY_DELAY: Duration = Duration::from_secs(5);
/// Number of latency samples that are kept.
const MAX_SAMPLES: usize = 32;
/// Percentile of the latency samples that is taken as the latency.
const PERCENTILE: usize = 95;
/// Maximum number of pending requests.
const MAX_PENDING: usize = 256;

/// State of the rating service, derived from its answers.
#[derive(Debug, Default)]
pub(super) struct Service {
    pending: IndexMap<CallId, Request>,
    latencies: VecDeque<Duration>,
    failures: u32,
    down_until: Option<Instant>,
}

/// A pending rating request.
#[derive(Debug)]
struct Request {
    subject: Subject,
    sent_at: Instant,
    deadline: Instant,
}

/// A change of the service's availability.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Transition {
    Up,
    Down,
}

impl Service {
    pub(super) fn on_sent(&mut self, call: CallId, subject: Subject, now: Instant) {
        let pending = Request {
            subject,
            sent_at: now,
            deadline: now + TIMEOUT,
        };
        self.pending.insert(call, pending);
    }

    /// Whether the service is expected to answer. A service that is down is tried again after a delay, by a single request.
    pub(super) fn is_up(&self, now: Instant) -> bool {
        match self.down_until {
            None => self.pending.len() < MAX_PENDING,
            Some(until) => until <= now && self.pending.is_empty(),
        }
    }

    /// High percentile of the recent latencies.
    pub(super) fn latency(&self) -> Duration {
        let mut latencies: Vec<Duration> = self.latencies.iter().copied().collect();
        latencies.sort_unstable();
        latencies
            .get(latencies.len() * PERCENTILE / 100)
            .copied()
            .unwrap_or(TIMEOUT)
    }

    /// Handles an answer, or a failure to answer, and returns what the request was about.
    pub(super) fn on_answer(
        &mut self,
        call: CallId,
        is_rated: bool,
        now: Instant,
    ) -> Option<(Subject, Option<Transition>)> {
        let pending = self.pending.swap_remove(&call)?;
        if is_rated {
            self.failures = 0;
            if self.latencies.len() >= MAX_SAMPLES {
                self.latencies.pop_front();
            }
            let latency = now.saturating_duration_since(pending.sent_at);
            self.latencies.push_back(latency);
            let transition = self.down_until.take().map(|_| Transition::Up);
            return Some((pending.subject, transition));
        }
        self.failures = self.failures.saturating_add(1);
        if self.failures < FAILURES_UNTIL_DOWN {
            return Some((pending.subject, None));
        }
        let before = self.down_until.replace(now + RETRY_DELAY);
        let transition = before.is_none().then_some(Transition::Down);
        Some((pending.subject, transition))
    }

    /// Pending requests that have timed out.
    pub(super) fn timed_out(&self, now: Instant) -> impl Iterator<Item = CallId> {
        let pending = self.pending.iter();
        pending
            .filter(move |(_, request)| request.deadline <= now)
            .map(|(call, _)| *call)
    }
}
