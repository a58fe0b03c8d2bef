use std::{
    cell::RefCell,
    net::SocketAddr,
    rc::{Rc, Weak},
    time::{Duration, Instant},
};

use compio::runtime::JoinHandle;
use indexmap::IndexMap;

use super::{connection::Connection, limits::Limits};

/// Pool of idle connections by address.
pub(super) struct Pool {
    limits: Limits,
    idle: IndexMap<SocketAddr, Vec<Idle>>,
    // Task that closes expired connections; it ends when no idle connection is left.
    sweeper: Option<JoinHandle<()>>,
}

struct Idle {
    connection: Connection,
    deadline: Instant,
}

impl Pool {
    pub(super) fn new(limits: Limits) -> Self {
        Self {
            limits,
            idle: IndexMap::new(),
            sweeper: None,
        }
    }

    /// Takes the most recently used connection, since the peer is least likely to have closed it.
    pub(super) fn take(&mut self, address: SocketAddr) -> Option<Connection> {
        let idle = self.idle.get_mut(&address)?;
        while let Some(Idle {
            connection,
            deadline,
        }) = idle.pop()
        {
            if connection.is_open() && Instant::now() < deadline {
                return Some(connection);
            }
        }
        None
    }

    /// Adds an idle connection, and closes the oldest one to the same address when there are too many.
    pub(super) fn put(
        pool: &Rc<RefCell<Self>>,
        address: SocketAddr,
        connection: Connection,
        idle_timeout: Option<Duration>,
    ) {
        let mut inner = pool.borrow_mut();
        let Limits {
            max_idle,
            idle_timeout: max_idle_timeout,
            ..
        } = inner.limits;
        let idle_timeout = idle_timeout.map_or(max_idle_timeout, |time| time.min(max_idle_timeout));
        let deadline = Instant::now() + idle_timeout;
        let idle = inner.idle.entry(address).or_default();
        idle.push(Idle {
            connection,
            deadline,
        });
        if idle.len() > max_idle {
            idle.remove(0);
        }
        if inner.sweeper.is_none() {
            inner.sweeper = Some(compio::runtime::spawn(sweep(Rc::downgrade(pool), deadline)));
        }
    }

    /// Closes the idle connections to an address.
    pub(super) fn close_idle(&mut self, address: SocketAddr) {
        self.idle.swap_remove(&address);
    }

    /// Number of idle connections.
    pub(super) fn len(&self) -> usize {
        self.idle.values().map(Vec::len).sum()
    }

    /// Closes expired connections, and returns the earliest deadline of the remaining ones.
    fn sweep(&mut self) -> Option<Instant> {
        let now = Instant::now();
        for idle in self.idle.values_mut() {
            idle.retain(|idle| idle.connection.is_open() && now < idle.deadline);
        }
        self.idle.retain(|_, idle| !idle.is_empty());
        self.idle.values().flatten().map(|idle| idle.deadline).min()
    }
}

/// Closes expired connections until none is left or the client is dropped.
async fn sweep(pool: Weak<RefCell<Pool>>, mut next: Instant) {
    loop {
        compio::time::sleep_until(next).await;
        let Some(pool) = pool.upgrade() else {
            return;
        };
        let mut inner = pool.borrow_mut();
        let Some(earliest) = inner.sweep() else {
            if let Some(sweeper) = inner.sweeper.take() {
                sweeper.detach();
            }
            return;
        };
        next = earliest;
    }
}
