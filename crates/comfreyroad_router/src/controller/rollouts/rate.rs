use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Time over which the rate is measured. Counts of other entries arrive with gossip, some rounds of which it must span.
const WINDOW: Duration = Duration::from_millis(1500);

/// The recent rate of a counter.
#[derive(Debug, Default)]
pub(super) struct Rate {
    samples: VecDeque<(Instant, f64)>,
}

impl Rate {
    /// Adds a reading of the counter.
    pub(super) fn add(&mut self, now: Instant, count: f64) {
        self.samples.push_back((now, count));
        while self
            .samples
            .get(1)
            .is_some_and(|(at, _)| *at + WINDOW <= now)
        {
            self.samples.pop_front();
        }
    }

    /// Increase of the counter per second.
    pub(super) fn per_second(&self) -> f64 {
        let (Some((from, first)), Some((to, last))) = (self.samples.front(), self.samples.back())
        else {
            return 0.0;
        };
        let time = to.saturating_duration_since(*from).max(WINDOW);
        (last - first) / time.as_secs_f64()
    }
}
