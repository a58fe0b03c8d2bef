//! The HTTP/1.1 server that all stand-ins share.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use compio::net::{TcpListener, TcpStream};
use compio::runtime::JoinHandle;
use compio::time::sleep;
use cyper_core::HyperStream;
use futures_util::future::LocalBoxFuture;
use http::{Request, StatusCode};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use serde_json::{Value, json};

use crate::call::Call;
use crate::injector::{Decision, Faults, Injector};
use crate::reply::{self, Reply};
use crate::{Error, Result};

/// A stand-in behind a [`Server`].
pub trait Fake {
    /// The fault injection filter.
    fn injector(&self) -> &Injector;
    /// Counts of what was executed, which `GET /journal` returns.
    fn journal(&self) -> Value;
    /// Applies the faults that are specific to this stand-in.
    fn apply_faults(&self, _faults: &Faults) {}
    /// Answers a control call, which bypasses the faults; `None` for any other call.
    fn control(&self, _call: &Call) -> Option<Reply> {
        None
    }
    /// Answers a call.
    fn serve(self: Rc<Self>, call: Call) -> LocalBoxFuture<'static, Result<Reply>>;
}

/// A listening stand-in; dropping it stops the listener.
pub struct Server {
    /// Address on which it listens, with the port chosen by the operating system.
    pub address: SocketAddr,
    _accept: JoinHandle<()>,
}

impl Server {
    /// Listens on `address`; requests and answers are each delayed by `delay`.
    pub fn start(address: &str, fake: Rc<dyn Fake>, delay: Duration) -> Result<Self> {
        let fail = |source| Error::Listen {
            peer: address.to_owned(),
            source,
        };
        let listener = std::net::TcpListener::bind(address).map_err(fail)?;
        listener.set_nonblocking(true).map_err(fail)?;
        let address = listener.local_addr().map_err(fail)?;
        let listener = TcpListener::from_std(listener).map_err(fail)?;
        let accept = compio::runtime::spawn(accept(listener, fake, delay));
        Ok(Self {
            address,
            _accept: accept,
        })
    }
}

async fn accept(listener: TcpListener, fake: Rc<dyn Fake>, delay: Duration) {
    /// Delay after a failed accept, for example when file descriptors are exhausted.
    const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
    loop {
        let Ok((stream, peer)) = listener.accept().await else {
            sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        compio::runtime::spawn(connection(stream, peer, Rc::clone(&fake), delay)).detach();
    }
}

async fn connection(stream: TcpStream, peer: SocketAddr, fake: Rc<dyn Fake>, delay: Duration) {
    // Small parts of a stream must be sent at once, so Nagle's algorithm is disabled.
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let service = service_fn(move |request: Request<Incoming>| {
        let fake = Rc::clone(&fake);
        async move { answer(fake, request, peer, delay).await }
    });
    let connection =
        http1::Builder::new().serve_connection(HyperStream::new_plain(stream), service);
    // Errors are ignored: the caller disconnected or an injected fault dropped the connection. Dropping the stream closes it; a
    // shutdown would need a thread pool.
    drop(connection.without_shutdown().await);
}

async fn answer(
    fake: Rc<dyn Fake>,
    request: Request<Incoming>,
    peer: SocketAddr,
    delay: Duration,
) -> Result<Reply> {
    let call = Call::read(request, peer.to_string()).await?;
    match call.target() {
        ("POST", "/faults") => return Ok(set_faults(&*fake, &call)),
        ("GET", "/journal") => return Ok(reply::json(StatusCode::OK, &journal(&*fake))),
        _ => {}
    }
    if let Some(reply) = fake.control(&call) {
        return Ok(reply);
    }
    sleep(delay).await;
    let decision = fake.injector().admit().await;
    if decision == Decision::Refuse {
        return Ok(reply::error(StatusCode::SERVICE_UNAVAILABLE, "outage"));
    }
    let reply = Rc::clone(&fake).serve(call).await?;
    if decision == Decision::Lose {
        return Err(Error::Dropped {
            peer: peer.to_string(),
        });
    }
    sleep(delay).await;
    Ok(reply)
}

fn set_faults(fake: &dyn Fake, call: &Call) -> Reply {
    match call.json::<Faults>() {
        Ok(faults) => {
            fake.injector().set(&faults);
            fake.apply_faults(&faults);
            reply::json(StatusCode::OK, &json!({}))
        }
        Err(err) => reply::error(StatusCode::BAD_REQUEST, &err.to_string()),
    }
}

fn journal(fake: &dyn Fake) -> Value {
    let (refused, lost) = fake.injector().counts();
    let mut journal = fake.journal();
    journal["fault_refused"] = refused.into();
    journal["fault_lost"] = lost.into();
    journal
}
