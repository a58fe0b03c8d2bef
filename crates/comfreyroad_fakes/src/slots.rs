//! Slots of an upstream: a queue before them, and a cold start behind them.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_channel::oneshot;

/// Size of an upstream and of what it bears while cold.
#[derive(Clone, Debug, PartialEq)]
pub struct Size {
    /// Requests that run at once when warm.
    pub slots: u32,
    /// Requests that it bears right after its start.
    pub cold: u32,
    /// How long it takes to get warm by time alone.
    pub warm_up: Duration,
    /// Requests that wait at most when warm.
    pub queue: u32,
}

impl Default for Size {
    fn default() -> Self {
        Self {
            slots: 8,
            cold: 8,
            warm_up: Duration::ZERO,
            queue: 32,
        }
    }
}

/// Why no slot was given.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refused {
    /// The queue is full.
    Full,
    /// It was more than a cold upstream bears, which fell over.
    Fell,
}

/// Slots with their queue.
pub struct Slots {
    state: RefCell<State>,
    boot: Cell<u32>,
    falls: Cell<u64>,
}

struct State {
    size: Size,
    started_at: Instant,
    served: u32,
    running: u32,
    arrivals: u64,
    waiting: Vec<Waiting>,
}

struct Waiting {
    priority: u32,
    arrival: u64,
    grant: oneshot::Sender<Slot>,
}

/// A slot in use; dropping it lets the next request in.
pub struct Slot {
    slots: Rc<Slots>,
    boot: u32,
}

impl Slots {
    /// Slots of an upstream that starts now.
    #[must_use]
    pub fn new(size: Size) -> Self {
        let state = State {
            size,
            started_at: Instant::now(),
            served: 0,
            running: 0,
            arrivals: 0,
            waiting: Vec::new(),
        };
        Self {
            state: RefCell::new(state),
            boot: Cell::new(1),
            falls: Cell::new(0),
        }
    }

    /// Waits for a slot; 0 is the priority served first.
    pub async fn take(self: &Rc<Self>, priority: u32) -> Result<Slot, Refused> {
        let waiting = {
            let mut state = self.state.borrow_mut();
            state.arrivals += 1;
            state.waiting.retain(|waiting| !waiting.grant.is_canceled());
            let bears = state.bears();
            let queued = u32::try_from(state.waiting.len()).unwrap_or(u32::MAX);
            if bears < state.size.slots && state.running + queued >= bears {
                drop(state);
                self.falls.set(self.falls.get() + 1);
                self.restart();
                return Err(Refused::Fell);
            }
            if state.running < state.size.slots {
                state.running += 1;
                return Ok(Slot {
                    slots: Rc::clone(self),
                    boot: self.boot.get(),
                });
            }
            if queued >= state.size.queue {
                return Err(Refused::Full);
            }
            let (grant, waiting) = oneshot::channel();
            let arrival = state.arrivals;
            state.waiting.push(Waiting {
                priority,
                arrival,
                grant,
            });
            waiting
        };
        // A restart drops the queue.
        waiting.await.map_err(|_| Refused::Fell)
    }

    /// Starts again: what runs breaks and what waits is dropped.
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
        self.state.borrow_mut().size.slots = slots;
        while self.grant() {}
    }

    /// Number of the start.
    #[must_use]
    pub fn boot(&self) -> u32 {
        self.boot.get()
    }

    /// How often it fell over.
    #[must_use]
    pub fn falls(&self) -> u64 {
        self.falls.get()
    }

    /// When it started.
    #[must_use]
    pub fn started_at(&self) -> Instant {
        self.state.borrow().started_at
    }

    /// Requests that run, that wait, and that can run at once.
    #[must_use]
    pub fn counts(&self) -> (u32, u32, u32) {
        let mut state = self.state.borrow_mut();
        state.waiting.retain(|waiting| !waiting.grant.is_canceled());
        let waiting = u32::try_from(state.waiting.len()).unwrap_or(u32::MAX);
        (state.running, waiting, state.size.slots)
    }

    fn release(self: &Rc<Self>) {
        {
            let mut state = self.state.borrow_mut();
            state.running = state.running.saturating_sub(1);
            state.served = state.served.saturating_add(1);
        }
        self.grant();
    }

    /// Gives a free slot to the first of the queue; false when there is none of either.
    fn grant(self: &Rc<Self>) -> bool {
        let next = self.state.borrow_mut().next();
        let Some(waiting) = next else {
            return false;
        };
        let slot = Slot {
            slots: Rc::clone(self),
            boot: self.boot.get(),
        };
        // A requester that has gone gives the slot back by dropping it.
        drop(waiting.grant.send(slot));
        true
    }
}

impl State {
    /// Requests borne now: few after a start, more with time and with each one served.
    fn bears(&self) -> u32 {
        let elapsed = self.started_at.elapsed();
        if self.size.cold >= self.size.slots || elapsed >= self.size.warm_up {
            return self.size.slots;
        }
        let span = f64::from(self.size.slots - self.size.cold);
        let by_time = span * elapsed.as_secs_f64() / self.size.warm_up.as_secs_f64();
        let by_served = f64::from(self.served) / f64::from(self.size.cold.max(1) * 2);
        self.size.cold + (by_time + by_served).min(span) as u32
    }

    /// Lets the first of the queue in.
    fn next(&mut self) -> Option<Waiting> {
        self.waiting.retain(|waiting| !waiting.grant.is_canceled());
        if self.running >= self.size.slots {
            return None;
        }
        let order = |waiting: &Waiting| (waiting.priority, waiting.arrival);
        let first = (0..self.waiting.len()).min_by_key(|index| order(&self.waiting[*index]))?;
        self.running += 1;
        Some(self.waiting.remove(first))
    }
}

impl Slot {
    /// Whether the upstream has started again since this slot was given.
    #[must_use]
    pub fn is_broken(&self) -> bool {
        self.boot != self.slots.boot()
    }

    /// Share of the slots in use, from 0.0 to 1.0.
    #[must_use]
    pub fn utilization(&self) -> f64 {
        let state = self.slots.state.borrow();
        f64::from(state.running) / f64::from(state.size.slots.max(1))
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        if !self.is_broken() {
            self.slots.release();
        }
    }
}
