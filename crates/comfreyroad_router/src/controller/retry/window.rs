use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Parts of a window; sendings of one part are forgotten together.
const PARTS: u32 = 20;

/// Sendings in a sliding window of time.
#[derive(Debug, Default)]
pub(super) struct Window {
    parts: VecDeque<Part>,
}

#[derive(Debug)]
struct Part {
    began: Instant,
    requests: u32,
    extra: u32,
}

impl Window {
    /// A request was sent for the first time.
    pub(super) fn add_request(&mut self, now: Instant, lasts: Duration) {
        self.part(now, lasts).requests += 1;
    }

    /// A request was sent once more.
    pub(super) fn add_extra(&mut self, now: Instant, lasts: Duration) {
        self.part(now, lasts).extra += 1;
    }

    /// First sendings in the window, and extra ones.
    pub(super) fn sums(&self, now: Instant, lasts: Duration) -> (f64, f64) {
        let live = self.parts.iter().filter(|it| it.is_live(now, lasts));
        let sum = |(requests, extra): (u32, u32), part: &Part| {
            (requests + part.requests, extra + part.extra)
        };
        let (requests, extra) = live.fold((0, 0), sum);
        (f64::from(requests), f64::from(extra))
    }

    /// The part that counts what is sent now.
    fn part(&mut self, now: Instant, lasts: Duration) -> &mut Part {
        while self.parts.front().is_some_and(|it| !it.is_live(now, lasts)) {
            self.parts.pop_front();
        }
        let last = self.parts.back();
        if last.is_none_or(|part| part.began + lasts / PARTS <= now) {
            self.parts.push_back(Part {
                began: now,
                requests: 0,
                extra: 0,
            });
        }
        let index = self.parts.len() - 1;
        &mut self.parts[index]
    }
}

impl Part {
    /// Whether any of it may lie in the window.
    fn is_live(&self, now: Instant, lasts: Duration) -> bool {
        self.began + lasts + lasts / PARTS > now
    }
}
