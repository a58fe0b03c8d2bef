use std::{cell::RefCell, rc::Rc, time::Instant};

use super::state::State;

/// Stops and inspects a running server.
#[derive(Clone, Debug)]
pub struct Handle {
    state: Rc<RefCell<State>>,
}

impl Handle {
    pub(super) fn new(state: Rc<RefCell<State>>) -> Self {
        Self { state }
    }

    /// Stops accepting connections. Responses in progress may continue until `deadline`, then their connections are
    /// reset. Only the deadline of the first call is used.
    pub fn stop(&self, deadline: Instant) {
        self.state.borrow_mut().stop(deadline);
    }

    /// Whether the server is stopping.
    pub fn is_stopping(&self) -> bool {
        self.state.borrow().deadline().is_some()
    }

    /// Number of connections that were reset at the deadline, in the middle of a request or a response.
    pub fn cut_connections(&self) -> usize {
        self.state.borrow().cut_connections()
    }

    /// Number of open connections.
    pub fn connections(&self) -> usize {
        self.state.borrow().connections()
    }
}
