use std::collections::VecDeque;
use std::time::{Duration, Instant};

use indexmap::IndexMap;

use crate::id::CallId;
use crate::quality::Subject;

/// Time for the rating service to answer.
const TIMEOUT: Duration = Duration::from_secs(2);
/// Questions without an answer, one after the other, by which the service counts as down.
const FAILURES: u32 = 2;
/// Time until a service that is down is asked again.
const PAUSE: Duration = Duration::from_secs(5);
/// Answers of which the times are kept.
const SAMPLES: usize = 32;
/// Of the times, the one that so many in a hundred keep.
const QUANTILE: usize = 95;
/// Questions under way at most.
const OPEN: usize = 256;

/// The rating service, as seen by the answers that it gives.
#[derive(Debug, Default)]
pub(super) struct Service {
    open: IndexMap<CallId, Question>,
    times: VecDeque<Duration>,
    failures: u32,
    down_until: Option<Instant>,
}

/// A question under way.
#[derive(Debug)]
struct Question {
    subject: Subject,
    asked: Instant,
    until: Instant,
}

/// What an answer changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Turned {
    Up,
    Down,
}

impl Service {
    pub(super) fn ask(&mut self, call: CallId, subject: Subject, now: Instant) {
        let question = Question {
            subject,
            asked: now,
            until: now + TIMEOUT,
        };
        self.open.insert(call, question);
    }

    /// Whether it can be expected to answer. One that was down is tried again after a while, by a single question.
    pub(super) fn is_up(&self, now: Instant) -> bool {
        match self.down_until {
            None => self.open.len() < OPEN,
            Some(until) => until <= now && self.open.is_empty(),
        }
    }

    /// Time that nearly all of its newest answers took.
    pub(super) fn takes(&self) -> Duration {
        let mut times: Vec<Duration> = self.times.iter().copied().collect();
        times.sort_unstable();
        times
            .get(times.len() * QUANTILE / 100)
            .copied()
            .unwrap_or(TIMEOUT)
    }

    /// Takes an answer, or the lack of one, and says what was rated.
    pub(super) fn on_answer(
        &mut self,
        call: CallId,
        is_rated: bool,
        now: Instant,
    ) -> Option<(Subject, Option<Turned>)> {
        let question = self.open.swap_remove(&call)?;
        if is_rated {
            self.failures = 0;
            if self.times.len() >= SAMPLES {
                self.times.pop_front();
            }
            let took = now.saturating_duration_since(question.asked);
            self.times.push_back(took);
            let turned = self.down_until.take().map(|_| Turned::Up);
            return Some((question.subject, turned));
        }
        self.failures = self.failures.saturating_add(1);
        if self.failures < FAILURES {
            return Some((question.subject, None));
        }
        let before = self.down_until.replace(now + PAUSE);
        let turned = before.is_none().then_some(Turned::Down);
        Some((question.subject, turned))
    }

    /// Questions whose time is over.
    pub(super) fn overdue(&self, now: Instant) -> impl Iterator<Item = CallId> {
        let overdue = self.open.iter();
        overdue
            .filter(move |(_, question)| question.until <= now)
            .map(|(call, _)| *call)
    }
}
