//! HTTP client with a connection pool per address, deadlines, and errors that say whether a request may have reached
//! the peer.

mod connection;
mod deadlines;
mod error;
mod json;
mod limits;
mod origin;
mod pool;
mod reader;
mod reuse;
mod timer;

use std::{
    cell::RefCell,
    fmt,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use compio::time::timeout_at;
use http::{
    HeaderMap, HeaderValue, Request, Response,
    header::{Entry, HOST},
};
use hyper::body::Incoming;

use self::{connection::Connection, pool::Pool};
use crate::body::Body;

pub use deadlines::Deadlines;
pub use error::{Cause, Error, Sent, Step};
pub use limits::Limits;
pub use origin::Origin;
pub use reader::{Reader, read_all};
pub use reuse::Reuse;

pub(crate) use json::{get, parse, parse_body, post, retry_after};

/// HTTP client. Clones share one connection pool.
#[derive(Clone)]
pub struct Client {
    limits: Limits,
    pool: Rc<RefCell<Pool>>,
}

impl Client {
    /// Creates a client with the given limits.
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            pool: Rc::new(RefCell::new(Pool::new(limits))),
        }
    }

    /// Number of idle connections.
    pub fn idle_connections(&self) -> usize {
        self.pool.borrow().len()
    }

    /// Closes the idle connections to an address, for example after a timeout, when they may be dead.
    pub fn close_idle(&self, address: SocketAddr) {
        self.pool.borrow_mut().close_idle(address);
    }

    /// Sends a request and waits until `deadline` for the head of the response.
    ///
    /// The response has [`Reuse`] among its extensions. The request's URI consists of path and query only; the `host` header is added. hyper omits a streamed body of
    /// `GET`, `HEAD` and `CONNECT` unless the request has a `content-length` or `transfer-encoding`. Dropping the
    /// future, or later the response body before its end, closes the connection.
    pub async fn call(
        &self,
        address: SocketAddr,
        request: Request<Body>,
        deadline: Instant,
    ) -> Result<Response<Incoming>, Error> {
        let deadlines = Deadlines {
            connect: deadline,
            response: deadline,
        };
        self.call_within(address, request, deadlines, Origin::Pool)
            .await
    }

    /// Sends a request like [`Client::call`], on a connection of a given origin, with an earlier deadline for opening one.
    pub async fn call_within(
        &self,
        address: SocketAddr,
        mut request: Request<Body>,
        deadlines: Deadlines,
        origin: Origin,
    ) -> Result<Response<Incoming>, Error> {
        let deadline = deadlines.response;
        add_host(&mut request, address)?;
        loop {
            let pooled = match origin {
                Origin::Pool => self.pool.borrow_mut().take(address),
                Origin::New => None,
            };
            let reused = pooled.is_some();
            let connection = match pooled {
                Some(connection) => connection,
                None => self.connect(address, deadlines.connect).await?,
            };
            request = match self.exchange(address, connection, request, deadline).await {
                Ok(response) => return Ok(response),
                // The peer had closed the pooled connection, and none of the request was sent.
                Err(Failure {
                    unsent: Some(request),
                    ..
                }) if reused => request,
                Err(Failure { error, .. }) => return Err(error),
            };
        }
    }

    async fn connect(&self, address: SocketAddr, deadline: Instant) -> Result<Connection, Error> {
        let deadline = deadline.min(Instant::now() + self.limits.connect_timeout);
        timeout_at(deadline, Connection::open(address, self.limits))
            .await
            .unwrap_or(Err(Cause::Deadline))
            .map_err(|cause| Error::connect(address, cause))
    }

    async fn exchange(
        &self,
        peer: SocketAddr,
        mut connection: Connection,
        request: Request<Body>,
        deadline: Instant,
    ) -> Result<Response<Incoming>, Failure> {
        let before = connection.bytes_written();
        let (cause, unsent) = match timeout_at(deadline, connection.send(request)).await {
            Ok(Ok(mut response)) => {
                response.extensions_mut().insert(connection.reuse());
                self.recycle(peer, connection, keep_alive(response.headers()));
                return Ok(response);
            }
            Ok(Err(mut error)) => {
                let unsent = error.take_message();
                (Cause::Http(error.into_error()), unsent)
            }
            Err(_) => (Cause::Deadline, None),
        };
        let is_unsent = connection.bytes_written() == before;
        let is_body_aborted =
            connection.is_reset() || matches!(&cause, Cause::Http(error) if error.is_user());
        let error = Error {
            step: if is_unsent || is_body_aborted {
                Step::Send
            } else {
                Step::Head
            },
            peer,
            sent: if is_unsent { Sent::No } else { Sent::Maybe },
            cause,
        };
        Err(Failure { error, unsent })
    }

    /// Returns the connection to the pool once its response has been read to the end.
    fn recycle(&self, address: SocketAddr, mut connection: Connection, idle: Option<Duration>) {
        let pool = Rc::downgrade(&self.pool);
        let put = async move {
            let Ok(()) = connection.ready().await else {
                return;
            };
            if let Some(pool) = pool.upgrade()
                && connection.is_open()
            {
                Pool::put(&pool, address, connection, idle);
            }
        };
        compio::runtime::spawn(put).detach();
    }
}

impl Default for Client {
    fn default() -> Self {
        Self::new(Limits::default())
    }
}

impl fmt::Debug for Client {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let idle = self.idle_connections();
        f.debug_struct("Client").field("idle", &idle).finish()
    }
}

/// A failed exchange, with the request if none of it was sent.
struct Failure {
    error: Error,
    unsent: Option<Request<Body>>,
}

/// Header in which a peer states its idle timeout.
const KEEP_ALIVE: &str = "keep-alive";

/// Time for which an idle connection can be reused: three quarters of the peer's idle timeout, since a request takes
/// time to arrive.
fn keep_alive(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get(KEEP_ALIVE)?.to_str().ok()?;
    let mut parameters = text.split(',').map(str::trim);
    let seconds = parameters.find_map(|parameter| parameter.strip_prefix("timeout="))?;
    let seconds: u32 = seconds.trim().parse().ok()?;
    Some(Duration::from_secs(seconds.into()) / 4 * 3)
}

fn add_host(request: &mut Request<Body>, address: SocketAddr) -> Result<(), Error> {
    if let Entry::Vacant(host) = request.headers_mut().entry(HOST) {
        let value = HeaderValue::try_from(address.to_string());
        host.insert(value.map_err(|error| Error::request(address, Cause::Request(error.into())))?);
    }
    Ok(())
}
