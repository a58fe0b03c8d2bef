//! HTTP server: accepts connections, passes their requests to a handler, and shuts down without truncating a response.

mod connection;
mod handle;
mod limits;
mod state;

use std::{
    cell::{Cell, RefCell},
    future::{Future, poll_fn},
    net::SocketAddr,
    pin::pin,
    rc::Rc,
    time::{Duration, Instant},
};

use compio::time::timeout_at;
use futures_util::future::{Either, select};
use http::{Request, Response};
use hyper::body::Incoming;

use self::{
    connection::Connection,
    state::{Registration, State},
};
use crate::{
    body::Body,
    listener::{ACCEPT_PAUSE, Listener},
    stream::Stream,
};

pub use handle::Handle;
pub use limits::Limits;

/// Time that handshakes under way get to end when the server stops.
const HANDSHAKE_TIME: Duration = Duration::from_millis(100);

/// HTTP server on a listener.
#[derive(Debug)]
pub struct Server {
    listener: Listener,
    limits: Rc<Cell<Limits>>,
    state: Rc<RefCell<State>>,
}

impl Server {
    /// Creates a server with the default limits.
    pub fn new(listener: Listener) -> Self {
        Self {
            listener,
            limits: Rc::default(),
            state: Rc::default(),
        }
    }

    /// Replaces the limits.
    pub fn with_limits(self, limits: Limits) -> Self {
        self.limits.set(limits);
        self
    }

    /// The limits, which can be changed while the server runs. A change applies to new connections.
    pub fn shared_limits(&self) -> Rc<Cell<Limits>> {
        self.limits.clone()
    }

    /// A handle to stop the server.
    pub fn handle(&self) -> Handle {
        Handle::new(self.state.clone())
    }

    /// Passes each request and the address of its peer to `handler`, until the server is stopped and its last
    /// connection is closed. When a caller disconnects, the future of its request is dropped.
    pub async fn serve<H, F>(self, handler: H)
    where
        H: Fn(Request<Incoming>, SocketAddr) -> F + 'static,
        F: Future<Output = Response<Body>> + 'static,
    {
        let handler = Rc::new(handler);
        loop {
            self.until(|state| {
                state.deadline().is_some()
                    || state.connections() < self.limits.get().max_connections
            })
            .await;
            let stopped = pin!(self.until(|state| state.deadline().is_some()));
            let accepted = pin!(self.listener.accept());
            match select(stopped, accepted).await {
                Either::Left(_) => break,
                Either::Right((accepted, _)) => self.spawn(accepted, &handler),
            }
        }
        self.accept_remaining(&handler).await;
        let Self {
            listener, state, ..
        } = self;
        drop(listener);
        poll_fn(|cx| {
            state
                .borrow_mut()
                .poll_until(cx, |state| state.connections() == 0)
        })
        .await;
    }

    /// Accepts the connections that callers consider established, so that closing the listener resets none.
    async fn accept_remaining<H, F>(&self, handler: &Rc<H>)
    where
        H: Fn(Request<Incoming>, SocketAddr) -> F + 'static,
        F: Future<Output = Response<Body>> + 'static,
    {
        if let Err(error) = self.listener.ignore_attempts() {
            let address = self.listener.address();
            log::warn!("connections to {address} during its close may be reset: {error}");
        }
        let deadline = self.state.borrow().deadline();
        let handshakes_end = Instant::now() + HANDSHAKE_TIME;
        let until = deadline.map_or(handshakes_end, |deadline| deadline.min(handshakes_end));
        while let Ok(accepted) = timeout_at(until, self.listener.accept()).await {
            self.spawn(accepted, handler);
        }
        loop {
            match self.listener.try_accept() {
                Ok(Some(accepted)) => self.spawn(accepted, handler),
                Ok(None) => return,
                // Connections that end until the deadline may free what is lacking.
                Err(_) if deadline.is_some_and(|deadline| Instant::now() < deadline) => {
                    compio::time::sleep_until(Instant::now() + ACCEPT_PAUSE).await;
                }
                Err(error) => {
                    let address = self.listener.address();
                    log::warn!("connections to {address} are reset by its close: {error}");
                    return;
                }
            }
        }
    }

    fn spawn<H, F>(&self, (stream, peer): (Stream, SocketAddr), handler: &Rc<H>)
    where
        H: Fn(Request<Incoming>, SocketAddr) -> F + 'static,
        F: Future<Output = Response<Body>> + 'static,
    {
        let connection = Connection {
            stream,
            peer,
            registration: Registration::new(&self.state),
            limits: self.limits.get(),
        };
        let handler = handler.clone();
        compio::runtime::spawn(connection.run(move |request, peer| handler(request, peer)))
            .detach();
    }

    async fn until(&self, condition: impl Fn(&State) -> bool) {
        poll_fn(|cx| self.state.borrow_mut().poll_until(cx, &condition)).await;
    }
}
