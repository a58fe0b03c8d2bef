//! The calls that wait for a slot, in the order in which they get one.
//!
//! Each lane has a line of its own. In it the more urgent class goes first. Within a class the turns are fair by
//! start-time fair queueing: each customer's calls are spaced by the inverse of its weight on a virtual clock, so that
//! many calls of one customer do not hold up a few of another.

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
const STEP: u64 = 1 << 20;
/// The newest interval between two slots counts for one part in so many of the mean.
const MEAN: u32 = 8;

/// Work is planned to take longer than its mean by one part in so many.
const MARGIN: u32 = 4;

/// A call that waits.
#[derive(Clone, Debug)]
pub struct Ticket {
    /// The call.
    pub call: CallId,
    /// What it shares upstreams with.
    pub lane: LaneId,
    /// How urgent it is.
    pub class: Class,
    /// Whose it is.
    pub customer: CustomerId,
    /// The customer's weight.
    pub weight: u32,
    /// When its whole answer is due.
    pub deadline: Instant,
    /// Whether it was sent before; it then goes first in its class.
    pub was_sent: bool,
}

/// Whether work that takes so long on average is likely to be done by its deadline.
pub fn can_meet_deadline(deadline: Instant, now: Instant, takes: Duration) -> bool {
    now + takes + takes / MARGIN <= deadline
}

/// A place in a line.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    class: Class,
    start: u64,
    call: CallId,
}

/// Keeps the lines.
#[derive(Debug)]
pub struct Queue {
    lines: IndexMap<LaneId, Line>,
    calls: IndexMap<CallId, (LaneId, Rank)>,
    is_fair: bool,
}

/// The calls that wait in one lane.
#[derive(Debug, Default)]
struct Line {
    waiting: BTreeMap<Rank, Ticket>,
    flows: IndexMap<Class, Flow>,
    // When a slot was last given to this line, and the mean interval between two.
    given: Option<Instant>,
    pace: Option<Duration>,
}

/// The virtual clock of a class in a line.
#[derive(Debug, Default)]
struct Flow {
    now: u64,
    finish: IndexMap<CustomerId, u64>,
}

impl Flow {
    fn start(&self, customer: &CustomerId) -> u64 {
        let finish = self.finish.get(customer).copied().unwrap_or(0);
        finish.max(self.now)
    }
}

impl Queue {
    pub(super) fn new(settings: &Settings) -> Self {
        Self {
            lines: IndexMap::new(),
            calls: IndexMap::new(),
            is_fair: settings.has(Mechanism::FairQueue),
        }
    }

    /// Calls that wait.
    pub fn len(&self) -> usize {
        self.calls.len()
    }

    /// Whether no call waits.
    pub fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }

    /// Whether a call waits.
    pub fn contains(&self, call: CallId) -> bool {
        self.calls.contains_key(&call)
    }

    /// The lane in which a call waits.
    pub fn lane_of(&self, call: CallId) -> Option<&LaneId> {
        self.calls.get(&call).map(|(lane, _)| lane)
    }

    /// The lanes in which calls wait.
    pub fn lanes(&self) -> impl Iterator<Item = &LaneId> {
        self.lines.keys()
    }

    /// The calls of a lane, the first one first.
    pub fn waiting_in(&self, lane: &LaneId) -> impl Iterator<Item = &Ticket> {
        self.lines
            .get(lane)
            .into_iter()
            .flat_map(|line| line.waiting.values())
    }

    /// The rank that a call would get.
    pub fn rank(&self, ticket: &Ticket) -> Rank {
        let flow = self
            .lines
            .get(&ticket.lane)
            .and_then(|line| line.flows.get(&ticket.class));
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

    /// Whether another call of the lane must get a slot before this one.
    pub fn is_behind(&self, ticket: &Ticket) -> bool {
        if self.lane_of(ticket.call) == Some(&ticket.lane) {
            return false;
        }
        let rank = self.rank(ticket);
        let first = self
            .lines
            .get(&ticket.lane)
            .and_then(|line| line.waiting.keys().next());
        first.is_some_and(|first| *first < rank)
    }

    /// Time until a call would get a slot, as far as the line's recent pace tells.
    pub fn expected_wait(&self, ticket: &Ticket) -> Duration {
        let Some(line) = self.lines.get(&ticket.lane) else {
            return Duration::ZERO;
        };
        let ahead = line.waiting.range(..self.rank(ticket)).count();
        line.pace
            .unwrap_or_default()
            .saturating_mul(u32::try_from(ahead).unwrap_or(u32::MAX))
    }

    /// Calls of a lane that can no longer make their deadline, with the time that they would have to wait.
    pub fn missing_deadline(
        &self,
        lane: &LaneId,
        now: Instant,
        takes: Duration,
    ) -> impl Iterator<Item = (CallId, Duration)> {
        let line = self.lines.get(lane);
        let pace = line.and_then(|line| line.pace).unwrap_or_default();
        let mut wait = Duration::ZERO;
        self.waiting_in(lane).filter_map(move |ticket| {
            if !can_meet_deadline(ticket.deadline, now, wait + takes) {
                return Some((ticket.call, wait));
            }
            // Only those that stay are waited for.
            wait += pace;
            None
        })
    }

    /// A call that waits and has less right to room than a newcomer.
    pub fn eviction_candidate(&self, ticket: &Ticket) -> Option<CallId> {
        let rank = self.rank(ticket);
        let own = self
            .lines
            .get(&ticket.lane)
            .and_then(|line| line.waiting.keys().next_back())
            .filter(|last| **last > rank);
        let last = |line: &Line| line.waiting.keys().next_back().copied();
        let others = self.lines.values().filter_map(last);
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
        let line = self.lines.entry(ticket.lane.clone()).or_default();
        if line.waiting.is_empty() {
            line.given = Some(now.instant);
        }
        let flow = line.flows.entry(ticket.class).or_default();
        if !ticket.was_sent {
            let step = STEP / u64::from(ticket.weight.max(1));
            flow.finish
                .insert(ticket.customer.clone(), rank.start + step);
        }
        line.waiting.insert(rank, ticket.clone());
        self.calls.insert(ticket.call, (ticket.lane.clone(), rank));
    }

    fn remove(&mut self, now: Now, call: CallId, placed: bool) {
        let Some((lane, rank)) = self.calls.swap_remove(&call) else {
            return;
        };
        let Some(line) = self.lines.get_mut(&lane) else {
            return;
        };
        let Some(ticket) = line.waiting.remove(&rank) else {
            return;
        };
        if placed {
            line.count(now.instant);
            if let Some(flow) = line.flows.get_mut(&ticket.class) {
                flow.now = flow.now.max(rank.start);
            }
        }
        if line.waiting.is_empty() {
            line.flows.clear();
        }
        // What is kept of an empty line is its pace; lanes come and go with the rules.
        if self.calls.is_empty() && self.lines.len() > 256 {
            self.lines.clear();
        }
    }
}

impl Line {
    /// Counts a slot given to this line.
    fn count(&mut self, now: Instant) {
        let Some(before) = self.given.replace(now) else {
            return;
        };
        let took = now.saturating_duration_since(before);
        self.pace = Some(
            self.pace
                .map_or(took, |mean| (mean * (MEAN - 1) + took) / MEAN),
        );
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
