//! State shared by the tasks of the event loop.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use comfreyroad::clock::Now;
use comfreyroad_net::client::{self, Client};
use comfreyroad_net::server;
use comfreyroad_platform::settings::Settings;
use comfreyroad_platform::store::Store;
use comfreyroad_router::{Event, Router};

use crate::actions;
use crate::clock;
use crate::front::{Memory, Registry};
use crate::metrics::Metrics;

/// Timeout for connecting to an upstream, a peer or the store, all of which are milliseconds away.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Time for which an idle connection is kept, unless the peer specifies one.
const IDLE_TIMEOUT: Duration = Duration::from_secs(8);
/// Idle connections kept to each address.
const MAX_IDLE_CONNECTIONS: usize = 64;

/// State shared by the tasks of the event loop.
#[derive(Debug)]
pub struct Shared {
    /// Makes all decisions.
    pub router: RefCell<Router>,
    /// Client for calls to upstreams.
    pub upstreams: Client,
    /// Client for calls to peers.
    pub peers: Client,
    /// Client of the platform's store.
    pub store: Store,
    /// Metrics of the process.
    pub metrics: Metrics,
    /// Memory of the bodies that are being forwarded.
    pub memory: Memory,
    /// Open requests of callers.
    pub registry: Registry,
    /// Stops the server for callers.
    pub stop: server::Handle,
}

impl Shared {
    /// Creates the state of a newly started process.
    pub fn new(settings: &Settings, stop: server::Handle) -> Self {
        let limits = client::Limits {
            max_idle: MAX_IDLE_CONNECTIONS,
            idle_timeout: IDLE_TIMEOUT,
            connect_timeout: CONNECT_TIMEOUT,
            ..client::Limits::default()
        };
        let router_settings = settings.router_settings(clock::incarnation(), fastrand::u64(..));
        let vm_memory = settings.limits.memory_mb.saturating_mul(1024 * 1024);
        let vm_memory = usize::try_from(vm_memory).unwrap_or(usize::MAX);
        let store = Store::new(settings.platform.address, Client::new(limits));
        Self {
            router: RefCell::new(Router::new(&router_settings)),
            upstreams: Client::new(limits),
            peers: Client::new(limits),
            store,
            metrics: Metrics::default(),
            memory: Memory::of_vm(vm_memory),
            registry: Registry::default(),
            stop,
        }
    }

    /// Passes an event to the router and executes the resulting actions.
    pub fn handle_event(self: &Rc<Self>, event: Event) {
        let actions = self.router.borrow_mut().handle(clock::now(), event);
        actions::execute(self, actions);
    }

    /// Calls `f` with the router and executes the resulting actions.
    pub fn with_router<T>(self: &Rc<Self>, f: impl FnOnce(&mut Router, Now) -> T) -> T {
        let (output, actions) = {
            let mut router = self.router.borrow_mut();
            let output = f(&mut router, clock::now());
            (output, router.take_actions())
        };
        actions::execute(self, actions);
        output
    }

    /// Ends all open requests, and logs those whose answers are cut.
    pub fn end(self: &Rc<Self>) {
        for open in self.registry.end().iter().filter(|it| it.has_started) {
            self.with_router(|router, _| router.on_cut(&open.id, open.upstream.as_ref()));
        }
    }

    /// Whether the process is shutting down, so that each connection closes after its next response.
    pub fn is_draining(&self) -> bool {
        self.router.borrow().state().lifecycle.is_draining()
    }

    /// When the process ends even if requests are still open; `None` before a shutdown.
    pub fn exit_deadline(&self) -> Option<Instant> {
        self.router.borrow().state().lifecycle.exit_deadline()
    }
}
