//! Recent latencies of answers by lane: time to the first part and total time.

use std::collections::VecDeque;
use std::time::Duration;

use indexmap::IndexMap;

use super::Controller;
use crate::clock::Now;
use crate::event::Event;
use crate::id::LaneId;
use crate::outbox::Outbox;

/// Number of recent first-part latencies in memory per lane.
const MAX_SAMPLES: usize = 64;
/// Number of first-part latencies needed before the quantile is meaningful.
const MIN_SAMPLES: usize = 16;
/// Quantile of the first-part latencies above which a first part is late, in percent.
const LATE_PERCENTILE: usize = 95;
/// Maximum number of lanes in memory.
const MAX_LANES: usize = 1024;
/// The newest sample has a weight of one part in this many in the moving mean.
const MEAN_DIVISOR: u32 = 8;

/// Tracks recent latencies.
#[derive(Debug, Default)]
pub struct Latencies {
    lanes: IndexMap<LaneId, Lane>,
}

#[derive(Debug, Default)]
struct Lane {
    first_parts: VecDeque<Duration>,
    mean_total: Option<Duration>,
}

impl Latencies {
    /// Returns the time after which the first part of an answer is late, once there are enough samples.
    pub fn late_after(&self, lane: &LaneId) -> Option<Duration> {
        let first_parts = &self.lanes.get(lane)?.first_parts;
        if first_parts.len() < MIN_SAMPLES {
            return None;
        }
        let mut sorted: Vec<Duration> = first_parts.iter().copied().collect();
        sorted.sort_unstable();
        sorted.get(sorted.len() * LATE_PERCENTILE / 100).copied()
    }

    /// Returns the mean total time of recent answers.
    pub fn mean_total(&self, lane: &LaneId) -> Option<Duration> {
        self.lanes.get(lane)?.mean_total
    }

    fn lane(&mut self, id: &LaneId) -> &mut Lane {
        if self.lanes.len() >= MAX_LANES && !self.lanes.contains_key(id) {
            self.lanes.swap_remove_index(0);
        }
        self.lanes.entry(id.clone()).or_default()
    }
}

impl Controller for Latencies {
    fn handle(&mut self, _: Now, event: &Event, _: &mut Outbox) {
        match event {
            Event::AnswerBegan { lane, took } => {
                let first_parts = &mut self.lane(lane).first_parts;
                if first_parts.len() >= MAX_SAMPLES {
                    first_parts.pop_front();
                }
                first_parts.push_back(*took);
            }
            Event::Answered { lane, took } => {
                let mean_total = &mut self.lane(lane).mean_total;
                *mean_total = Some(mean_total.map_or(*took, |mean| {
                    (mean * (MEAN_DIVISOR - 1) + *took) / MEAN_DIVISOR
                }));
            }
            _ => {}
        }
    }
}
