//! What the loop's tasks share.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use comfreyroad::clock::Now;
use comfreyroad_net::client::{self, Client};
use comfreyroad_net::server::Stop;
use comfreyroad_platform::settings::Settings;
use comfreyroad_platform::store::Store;
use comfreyroad_router::{Event, Router};

use crate::clock;
use crate::metrics::Metrics;
use crate::outside;

/// Time for a connection to an upstream, a peer or the store to be made. They are milliseconds away.
const CONNECT_TIME: Duration = Duration::from_millis(400);
/// Time for which a connection without a request is kept where the peer does not say.
const IDLE_TIME: Duration = Duration::from_secs(8);
/// Idle connections kept to one address.
const IDLE: usize = 64;

/// What the loop's tasks share.
#[derive(Debug)]
pub struct Shared {
    /// The decisions.
    pub router: RefCell<Router>,
    /// Connections to upstreams.
    pub upstreams: Client,
    /// Connections to peers.
    pub peers: Client,
    /// The platform's store.
    pub store: Store,
    /// What is counted.
    pub metrics: Metrics,
    /// Requests under way.
    pub open: Cell<usize>,
    /// Stops the listener for callers.
    pub stop: Stop,
}

impl Shared {
    /// Shares what a process starts with.
    pub fn new(settings: &Settings, stop: Stop) -> Self {
        let limits = client::Limits {
            idle: IDLE,
            idle_time: IDLE_TIME,
            connect_time: CONNECT_TIME,
            ..client::Limits::default()
        };
        let router = settings.router(clock::incarnation(), fastrand::u64(..));
        let store = Store::new(settings.platform.address, Client::new(limits));
        Self {
            router: RefCell::new(Router::new(&router)),
            upstreams: Client::new(limits),
            peers: Client::new(limits),
            store,
            metrics: Metrics::default(),
            open: Cell::new(0),
            stop,
        }
    }

    /// Feeds an event to the router and carries out what follows.
    pub fn raise(self: &Rc<Self>, event: Event) {
        let actions = self.router.borrow_mut().handle(clock::now(), event);
        outside::carry_out(self, actions);
    }

    /// Asks the router, and carries out what follows.
    pub fn ask<T>(self: &Rc<Self>, ask: impl FnOnce(&mut Router, Now) -> T) -> T {
        let (answer, actions) = {
            let mut router = self.router.borrow_mut();
            let answer = ask(&mut router, clock::now());
            (answer, router.take_actions())
        };
        outside::carry_out(self, actions);
        answer
    }

    /// Whether connections are to end with their next answer.
    pub fn is_draining(&self) -> bool {
        self.router.borrow().state().lifecycle.is_draining()
    }

    /// When the process ends at the latest, once it is to end.
    pub fn ends_at(&self) -> Option<Instant> {
        self.router.borrow().state().lifecycle.exit_deadline()
    }
}
