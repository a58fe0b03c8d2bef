//! The queue of calls that wait for a slot, in the order in which they get one.
//!
//! Each lane has a queue of its own. In it the more urgent class goes first. Within a class, start-time fair queueing
//! spaces each customer's calls by the inverse of its weight on a virtual clock, so that many calls of one customer do
//! not delay a few calls of another.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use indexmap::IndexMap;

use super::Controller;
use crate::clock::Now;
use crate::event::Event;
use crate::id::{CallId, CustomerId, LaneId};
use crate::mechanism::Mechanism;
use crate::outbox::Outbox;
use crate::request::Class;
use crate::settings::Settings;

/// Virtual time between two calls of a customer of weight 1.
const VIRTUAL_STEP: u64 = 1 << 20;
/// The newest interval between two slots has a weight of one part in this many in the moving mean.
const MEAN_DIVISOR: u32 = 8;

/// Work is assumed to take longer than its mean by one part in this many.
const DURATION_MARGIN_DIVISOR: u32 = 4;

/// A call that waits for a slot, or would have to wait.
#[derive(Clone, Debug)]
pub struct Ticket {
    /// The call.
    pub call: CallId,
    /// The lane, whose calls share upstreams.
    pub lane: LaneId,
    /// The call's class, which determines its urgency.
    pub class: Class,
    /// The customer who made the call.
    pub customer: CustomerId,
    /// The customer's weight.
    pub weight: u32,
    /// When the whole answer is due.
    pub deadline: Instant,
    /// Whether the request was sent before; a retry goes first in its class.
    pub was_sent: bool,
}

/// Whether work with an expected duration is likely to finish by its deadline.
pub fn can_meet_deadline(deadline: Instant, now: Instant, expected: Duration) -> bool {
    now + expected + expected / DURATION_MARGIN_DIVISOR <= deadline
}

/// The position of a call in its lane's queue; the lowest goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    class: Class,
    start: u64,
    call: CallId,
}

/// Holds the waiting calls of all lanes.
#[derive(Debug)]
pub struct Queue {
    lanes: IndexMap<LaneId, Lane>,
    calls: IndexMap<CallId, (LaneId, Rank)>,
    is_fair: bool,
}

/// The waiting calls of one lane.
#[derive(Debug, Default)]
struct Lane {
    waiting: BTreeMap<Rank, Ticket>,
    flows: IndexMap<Class, Flow>,
    // When this lane last got a slot or became non-empty, and the mean interval between two slots.
    last_slot_at: Option<Instant>,
    mean_interval: Option<Duration>,
}

/// The virtual clock of one class in a lane.
#[derive(Debug, Default)]
struct Flow {
    now: u64,
    finish_times: IndexMap<CustomerId, u64>,
}

impl Flow {
    fn start(&self, customer: &CustomerId) -> u64 {
        let finish = self.finish_times.get(customer).copied().unwrap_or(0);
        finish.max(self.now)
    }
}

impl Queue {
    pub(super) fn new(settings: &Settings) -> Self {
        Self {
            lanes: IndexMap::new(),
            calls: IndexMap::new(),
            is_fair: settings.is_enabled(Mechanism::FairQueue),
        }
    }

    /// Number of waiting calls.
    pub fn len(&self) -> usize {
        self.calls.len()
    }

    /// Whether no call is waiting.
    pub fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }

    /// Whether a call is waiting.
    pub fn contains(&self, call: CallId) -> bool {
        self.calls.contains_key(&call)
    }

    /// Returns the lane in which a call waits.
    pub fn lane_of(&self, call: CallId) -> Option<&LaneId> {
        self.calls.get(&call).map(|(id, _)| id)
    }

    /// Returns the lanes that have a queue.
    pub fn lanes(&self) -> impl Iterator<Item = &LaneId> {
        self.lanes.keys()
    }

    /// Returns the waiting calls of a lane, in order.
    pub fn waiting_in(&self, id: &LaneId) -> impl Iterator<Item = &Ticket> {
        self.lanes
            .get(id)
            .into_iter()
            .flat_map(|lane| lane.waiting.values())
    }

    /// Returns the rank that a call would get.
    pub fn rank(&self, ticket: &Ticket) -> Rank {
        let flow = self
            .lanes
            .get(&ticket.lane)
            .and_then(|lane| lane.flows.get(&ticket.class));
        let start = match flow {
            _ if ticket.was_sent => 0,
            Some(flow) if self.is_fair => flow.start(&ticket.customer),
            _ => 0,
        };
        Rank {
            class: if self.is_fair {
                ticket.class
            } else {
                Class::Payment
            },
            start,
            call: ticket.call,
        }
    }

    /// Whether another waiting call of the lane must get a slot before this one.
    pub fn is_behind(&self, ticket: &Ticket) -> bool {
        if self.lane_of(ticket.call) == Some(&ticket.lane) {
            return false;
        }
        let rank = self.rank(ticket);
        let first = self
            .lanes
            .get(&ticket.lane)
            .and_then(|lane| lane.waiting.keys().next());
        first.is_some_and(|first| *first < rank)
    }

    /// Returns the expected time until a call gets a slot, according to the lane's recent rate.
    pub fn expected_wait(&self, ticket: &Ticket) -> Duration {
        let Some(lane) = self.lanes.get(&ticket.lane) else {
            return Duration::ZERO;
        };
        let ahead = lane.waiting.range(..self.rank(ticket)).count();
        lane.mean_interval
            .unwrap_or_default()
            .saturating_mul(u32::try_from(ahead).unwrap_or(u32::MAX))
    }

    /// Returns the calls of a lane that can no longer meet their deadline, with their expected wait.
    pub fn missing_deadline(
        &self,
        id: &LaneId,
        now: Instant,
        expected: Duration,
    ) -> impl Iterator<Item = (CallId, Duration)> {
        let lane = self.lanes.get(id);
        let mean_interval = lane.and_then(|lane| lane.mean_interval).unwrap_or_default();
        let mut wait = Duration::ZERO;
        self.waiting_in(id).filter_map(move |ticket| {
            if !can_meet_deadline(ticket.deadline, now, wait + expected) {
                return Some((ticket.call, wait));
            }
            // Only calls that remain in the queue add to the wait of those behind them.
            wait += mean_interval;
            None
        })
    }

    /// Returns the waiting call that a new call would displace when the limits are exceeded, if there is one.
    pub fn eviction_candidate(&self, ticket: &Ticket) -> Option<CallId> {
        let rank = self.rank(ticket);
        let own = self
            .lanes
            .get(&ticket.lane)
            .and_then(|lane| lane.waiting.keys().next_back())
            .filter(|last| **last > rank);
        let last = |lane: &Lane| lane.waiting.keys().next_back().copied();
        let others = self.lanes.values().filter_map(last);
        let worst = others
            .filter(|last| last.class > rank.class)
            .max_by_key(|last| (last.class, last.start));
        worst.or(own.copied()).map(|rank| rank.call)
    }

    fn insert(&mut self, now: Now, ticket: &Ticket) {
        if self.contains(ticket.call) {
            return;
        }
        let rank = self.rank(ticket);
        let lane = self.lanes.entry(ticket.lane.clone()).or_default();
        if lane.waiting.is_empty() {
            lane.last_slot_at = Some(now.instant);
        }
        let flow = lane.flows.entry(ticket.class).or_default();
        if !ticket.was_sent {
            let step = VIRTUAL_STEP / u64::from(ticket.weight.max(1));
            flow.finish_times
                .insert(ticket.customer.clone(), rank.start + step);
        }
        lane.waiting.insert(rank, ticket.clone());
        self.calls.insert(ticket.call, (ticket.lane.clone(), rank));
    }

    fn remove(&mut self, now: Now, call: CallId, got_slot: bool) {
        let Some((id, rank)) = self.calls.swap_remove(&call) else {
            return;
        };
        let Some(lane) = self.lanes.get_mut(&id) else {
            return;
        };
        let Some(ticket) = lane.waiting.remove(&rank) else {
            return;
        };
        if got_slot {
            lane.on_slot(now.instant);
            if let Some(flow) = lane.flows.get_mut(&ticket.class) {
                flow.now = flow.now.max(rank.start);
            }
        }
        if lane.waiting.is_empty() {
            lane.flows.clear();
        }
        // An empty lane only preserves its mean interval. The rules add and remove lanes, so the map is cleared when it grows.
        if self.calls.is_empty() && self.lanes.len() > 256 {
            self.lanes.clear();
        }
    }
}

impl Lane {
    /// Updates the mean interval when the lane gets a slot.
    fn on_slot(&mut self, now: Instant) {
        let Some(before) = self.last_slot_at.replace(now) else {
            return;
        };
        let took = now.saturating_duration_since(before);
        self.mean_interval = Some(self.mean_interval.map_or(took, |mean| {
            (mean * (MEAN_DIVISOR - 1) + took) / MEAN_DIVISOR
        }));
    }
}

impl Controller for Queue {
    fn handle(&mut self, now: Now, event: &Event, _: &mut Outbox) {
        match event {
            Event::Queued(ticket) => self.insert(now, ticket),
            Event::Unqueued { call, placed } => self.remove(now, *call, *placed),
            Event::CallEnded(call) => self.remove(now, *call, false),
            _ => {}
        }
    }
}
