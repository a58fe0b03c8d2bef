use std::{
    cell::RefCell,
    rc::Rc,
    task::{Context, Poll, Waker},
    time::Instant,
};

use indexmap::IndexMap;

/// Id of a connection.
pub(super) type ConnectionId = u64;

/// State shared by the accept loop, the connections and the handles of a server.
#[derive(Debug, Default)]
pub(super) struct State {
    deadline: Option<Instant>,
    next: ConnectionId,
    connections: IndexMap<ConnectionId, Option<Waker>>,
    // Connections that were reset at the deadline.
    cut: usize,
    server: Option<Waker>,
}

impl State {
    /// Stops the server and its connections. Only the deadline of the first call is used.
    pub(super) fn stop(&mut self, deadline: Instant) {
        self.deadline.get_or_insert(deadline);
        let connections = self.connections.values_mut().filter_map(Option::take);
        connections.chain(self.server.take()).for_each(Waker::wake);
    }

    /// Time by which all connections must be closed; `None` while the server is not stopping.
    pub(super) fn deadline(&self) -> Option<Instant> {
        self.deadline
    }

    pub(super) fn connections(&self) -> usize {
        self.connections.len()
    }

    /// Number of connections that were reset at the deadline, in the middle of a request or a response.
    pub(super) fn cut_connections(&self) -> usize {
        self.cut
    }

    /// Ready when `condition` holds. The accept loop polls it.
    pub(super) fn poll_until(
        &mut self,
        cx: &Context<'_>,
        condition: impl Fn(&Self) -> bool,
    ) -> Poll<()> {
        if condition(self) {
            return Poll::Ready(());
        }
        self.server = Some(cx.waker().clone());
        Poll::Pending
    }

    /// Ready with the deadline once the server is stopping. Connections poll it.
    pub(super) fn poll_stop(&mut self, cx: &Context<'_>, id: ConnectionId) -> Poll<Instant> {
        if let Some(deadline) = self.deadline {
            return Poll::Ready(deadline);
        }
        self.connections.insert(id, Some(cx.waker().clone()));
        Poll::Pending
    }
}

/// Registration of a connection with its server. Dropping it removes the connection.
#[derive(Debug)]
pub(super) struct Registration {
    state: Rc<RefCell<State>>,
    id: ConnectionId,
}

impl Registration {
    pub(super) fn new(state: &Rc<RefCell<State>>) -> Self {
        let mut inner = state.borrow_mut();
        let id = inner.next;
        inner.next += 1;
        inner.connections.insert(id, None);
        Self {
            state: state.clone(),
            id,
        }
    }

    pub(super) fn poll_stop(&self, cx: &Context<'_>) -> Poll<Instant> {
        self.state.borrow_mut().poll_stop(cx, self.id)
    }

    /// Counts the connection as reset at the deadline.
    pub(super) fn record_cut(&self) {
        self.state.borrow_mut().cut += 1;
    }
}

impl Drop for Registration {
    fn drop(&mut self) {
        let mut state = self.state.borrow_mut();
        state.connections.swap_remove(&self.id);
        if let Some(server) = state.server.take() {
            server.wake();
        }
    }
}
