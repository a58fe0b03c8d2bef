//! Concurrency slots of an upstream with a priority queue and a simulated cold start.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_channel::oneshot;

/// Capacity of an upstream.
#[derive(Clone, Debug, PartialEq)]
pub struct Capacity {
    /// Maximum number of concurrent requests when warm.
    pub slots: u32,
    /// Maximum number of concurrent requests right after a start.
    pub cold_slots: u32,
    /// Time after a start until the upstream is warm without having served any request.
    pub warm_up: Duration,
    /// Maximum number of queued requests when warm.
    pub queue: u32,
}

impl Default for Capacity {
    fn default() -> Self {
        Self {
            slots: 8,
            cold_slots: 8,
            warm_up: Duration::ZERO,
            queue: 32,
        }
    }
}

/// Why no slot was granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The queue is full.
    QueueFull,
    /// The request exceeded the capacity of a cold upstream, which crashed and restarted.
    Overload,
}

/// Slots of an upstream with their queue.
pub struct Slots {
    state: RefCell<State>,
    boot: Cell<u32>,
    crashes: Cell<u64>,
}

struct State {
    capacity: Capacity,
    started_at: Instant,
    served: u32,
    running: u32,
    arrivals: u64,
    waiting: Vec<Waiter>,
}

struct Waiter {
    priority: u32,
    arrival: u64,
    grant: oneshot::Sender<Slot>,
}

/// A slot in use; dropping it admits the next request.
pub struct Slot {
    slots: Rc<Slots>,
    boot: u32,
}

impl Slots {
    /// Creates the slots of an upstream that starts now.
    #[must_use]
    pub fn new(capacity: Capacity) -> Self {
        let state = State {
            capacity,
            started_at: Instant::now(),
            served: 0,
            running: 0,
            arrivals: 0,
            waiting: Vec::new(),
        };
        Self {
            state: RefCell::new(state),
            boot: Cell::new(1),
            crashes: Cell::new(0),
        }
    }

    /// Waits for a slot; requests with a lower `priority` value are served first.
    pub async fn acquire(self: &Rc<Self>, priority: u32) -> Result<Slot, Refusal> {
        let granted = {
            let mut state = self.state.borrow_mut();
            state.arrivals += 1;
            state.waiting.retain(|waiter| !waiter.grant.is_canceled());
            let limit = state.limit();
            let queued = u32::try_from(state.waiting.len()).unwrap_or(u32::MAX);
            if limit < state.capacity.slots && state.running + queued >= limit {
                drop(state);
                self.crashes.set(self.crashes.get() + 1);
                self.restart();
                return Err(Refusal::Overload);
            }
            if state.running < state.capacity.slots {
                state.running += 1;
                return Ok(Slot {
                    slots: Rc::clone(self),
                    boot: self.boot.get(),
                });
            }
            if queued >= state.capacity.queue {
                return Err(Refusal::QueueFull);
            }
            let (grant, granted) = oneshot::channel();
            let arrival = state.arrivals;
            state.waiting.push(Waiter {
                priority,
                arrival,
                grant,
            });
            granted
        };
        // A restart clears the queue, which drops the sender.
        granted.await.map_err(|_| Refusal::Overload)
    }

    /// Restarts the upstream: running requests break and queued ones are dropped.
    pub fn restart(&self) {
        self.boot.set(self.boot.get() + 1);
        let mut state = self.state.borrow_mut();
        state.started_at = Instant::now();
        state.served = 0;
        state.running = 0;
        state.waiting.clear();
    }

    /// Sets the number of slots.
    pub fn resize(self: &Rc<Self>, slots: u32) {
        self.state.borrow_mut().capacity.slots = slots;
        while self.grant_next() {}
    }

    /// Number of the current start, counted from 1.
    #[must_use]
    pub fn boot(&self) -> u32 {
        self.boot.get()
    }

    /// Number of crashes caused by overload while cold.
    #[must_use]
    pub fn crashes(&self) -> u64 {
        self.crashes.get()
    }

    /// Time of the current start.
    #[must_use]
    pub fn started_at(&self) -> Instant {
        self.state.borrow().started_at
    }

    /// Numbers of running requests, queued requests and slots.
    #[must_use]
    pub fn counts(&self) -> (u32, u32, u32) {
        let mut state = self.state.borrow_mut();
        state.waiting.retain(|waiter| !waiter.grant.is_canceled());
        let waiting = u32::try_from(state.waiting.len()).unwrap_or(u32::MAX);
        (state.running, waiting, state.capacity.slots)
    }

    fn release(self: &Rc<Self>) {
        {
            let mut state = self.state.borrow_mut();
            state.running = state.running.saturating_sub(1);
            state.served = state.served.saturating_add(1);
        }
        self.grant_next();
    }

    /// Grants a free slot to the first request of the queue; false when no slot is free or the queue is empty.
    fn grant_next(self: &Rc<Self>) -> bool {
        let next = self.state.borrow_mut().admit_next();
        let Some(waiter) = next else {
            return false;
        };
        let slot = Slot {
            slots: Rc::clone(self),
            boot: self.boot.get(),
        };
        // If the requester has disconnected, the unsent slot is dropped and thereby released.
        drop(waiter.grant.send(slot));
        true
    }
}

impl State {
    /// Current limit of concurrent requests, which rises after a start with time and with each served request.
    fn limit(&self) -> u32 {
        let elapsed = self.started_at.elapsed();
        if self.capacity.cold_slots >= self.capacity.slots || elapsed >= self.capacity.warm_up {
            return self.capacity.slots;
        }
        let span = f64::from(self.capacity.slots - self.capacity.cold_slots);
        let by_time = span * elapsed.as_secs_f64() / self.capacity.warm_up.as_secs_f64();
        let by_served = f64::from(self.served) / f64::from(self.capacity.cold_slots.max(1) * 2);
        self.capacity.cold_slots + (by_time + by_served).min(span) as u32
    }

    /// Removes the first request of the queue, by priority and arrival, and counts it as running.
    fn admit_next(&mut self) -> Option<Waiter> {
        self.waiting.retain(|waiter| !waiter.grant.is_canceled());
        if self.running >= self.capacity.slots {
            return None;
        }
        let order = |waiter: &Waiter| (waiter.priority, waiter.arrival);
        let first = (0..self.waiting.len()).min_by_key(|index| order(&self.waiting[*index]))?;
        self.running += 1;
        Some(self.waiting.remove(first))
    }
}

impl Slot {
    /// Whether the upstream has restarted since this slot was granted.
    #[must_use]
    pub fn is_broken(&self) -> bool {
        self.boot != self.slots.boot()
    }

    /// Share of the slots in use, from 0.0 to 1.0.
    #[must_use]
    pub fn utilization(&self) -> f64 {
        let state = self.slots.state.borrow();
        f64::from(state.running) / f64::from(state.capacity.slots.max(1))
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        if !self.is_broken() {
            self.slots.release();
        }
    }
}
