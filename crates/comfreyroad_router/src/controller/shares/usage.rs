use std::cell::Cell;
use std::rc::Rc;
use std::time::Instant;

use super::{Hold, WINDOW};

/// Mean below which a customer without requests is forgotten, in slots.
const IDLE_SLOTS: f64 = 0.01;

/// The slots of a pool that a customer uses through this entry.
#[derive(Debug)]
pub(super) struct Usage {
    open: Rc<Cell<u32>>,
    mean: f64,
    settled_at: Instant,
}

impl Usage {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            open: Rc::default(),
            mean: 0.0,
            settled_at: now,
        }
    }

    /// Counts a request until the guard is dropped.
    pub(super) fn hold(&mut self, now: Instant) -> Hold {
        self.settle(now);
        Hold::acquire(&self.open)
    }

    /// Adds the time since the last call to the mean. It must precede each change of the open requests.
    pub(super) fn settle(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.settled_at);
        let kept = (-elapsed.as_secs_f64() / WINDOW.as_secs_f64()).exp();
        let open = f64::from(self.open.get());
        self.mean = open + (self.mean - open) * kept;
        self.settled_at = now;
    }

    /// Mean number of slots, exponentially weighted over the window.
    pub(super) fn mean(&self) -> f64 {
        self.mean
    }

    pub(super) fn is_idle(&self) -> bool {
        self.open.get() == 0 && self.mean < IDLE_SLOTS
    }
}
