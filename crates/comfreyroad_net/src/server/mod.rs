//! HTTP server: accepts connections, passes their requests to a handler, and shuts down without truncating a response.

mod connection;
mod handle;
mod limits;
mod state;

use std::{
    cell::{Cell, RefCell},
    future::{Future, poll_fn},
    io,
    net::SocketAddr,
    pin::pin,
    rc::Rc,
};

use futures_util::future::{Either, select};
use http::{Request, Response};
use hyper::body::Incoming;

use self::{
    connection::Connection,
    state::{Registration, State},
};
use crate::{body::Body, listener::Listener, stream::Stream};

pub use handle::Handle;
pub use limits::Limits;

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
    pub async fn serve<H, F>(self, handler: H) -> io::Result<()>
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
                Either::Right((accepted, _)) => self.spawn(accepted?, &handler),
            }
        }
        // Connections that the kernel has already accepted are served too.
        while let Ok(Some(accepted)) = self.listener.try_accept() {
            self.spawn(accepted, &handler);
        }
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
        Ok(())
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
