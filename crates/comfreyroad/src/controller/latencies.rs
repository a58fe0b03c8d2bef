//! How long answers take, by lane: until their first part, and altogether.

use std::collections::VecDeque;
use std::time::Duration;

use indexmap::IndexMap;

use super::Controller;
use crate::clock::Now;
use crate::event::Event;
use crate::id::LaneId;
use crate::outbox::Outbox;

/// First parts of which the times are kept in each lane.
const SAMPLES: usize = 64;
/// First parts that must have been seen before their times say anything.
const LEAST: usize = 16;
/// The first part is late when it takes longer than this many in a hundred.
const QUANTILE: usize = 95;
/// Lanes that are kept at most.
const LANES: usize = 1024;
/// The newest answer counts for one part in so many of the mean.
const MEAN: u32 = 8;

/// Keeps recent times.
#[derive(Debug, Default)]
pub struct Latencies {
    lanes: IndexMap<LaneId, Lane>,
}

#[derive(Debug, Default)]
struct Lane {
    firsts: VecDeque<Duration>,
    whole: Option<Duration>,
}

impl Latencies {
    /// Time after which the first part of an answer counts as late, once enough is known.
    pub fn late_after(&self, lane: &LaneId) -> Option<Duration> {
        let firsts = &self.lanes.get(lane)?.firsts;
        if firsts.len() < LEAST {
            return None;
        }
        let mut sorted: Vec<Duration> = firsts.iter().copied().collect();
        sorted.sort_unstable();
        sorted.get(sorted.len() * QUANTILE / 100).copied()
    }

    /// Mean time of recent answers.
    pub fn mean_total(&self, lane: &LaneId) -> Option<Duration> {
        self.lanes.get(lane)?.whole
    }

    fn lane(&mut self, id: &LaneId) -> &mut Lane {
        if self.lanes.len() >= LANES && !self.lanes.contains_key(id) {
            self.lanes.swap_remove_index(0);
        }
        self.lanes.entry(id.clone()).or_default()
    }
}

impl Controller for Latencies {
    fn handle(&mut self, _: Now, event: &Event, _: &mut Outbox) {
        match event {
            Event::Began { lane, took } => {
                let firsts = &mut self.lane(lane).firsts;
                if firsts.len() >= SAMPLES {
                    firsts.pop_front();
                }
                firsts.push_back(*took);
            }
            Event::Answered { lane, took } => {
                let whole = &mut self.lane(lane).whole;
                *whole = Some(whole.map_or(*took, |mean| (mean * (MEAN - 1) + *took) / MEAN));
            }
            _ => {}
        }
    }
}
