use std::{cell::RefCell, rc::Rc, time::Instant};

use super::state::State;

/// Asks a running server to stop.
#[derive(Clone, Debug)]
pub struct Handle {
    state: Rc<RefCell<State>>,
}

impl Handle {
    pub(super) fn new(state: Rc<RefCell<State>>) -> Self {
        Self { state }
    }

    /// No connection is accepted any more; answers that were begun may go on until `deadline`, then they break.
    /// Of several deadlines the first counts.
    pub fn stop(&self, deadline: Instant) {
        self.state.borrow_mut().stop(deadline);
    }

    /// Whether the server was asked to stop.
    pub fn is_stopping(&self) -> bool {
        self.state.borrow().deadline().is_some()
    }

    /// Connections open now.
    pub fn connections(&self) -> usize {
        self.state.borrow().connections()
    }
}
