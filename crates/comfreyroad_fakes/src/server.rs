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
use crate::gate::{Faults, Gate, Pass};
use crate::reply::{self, Reply};
use crate::{Error, Result};

/// A stand-in behind a [`Server`].
pub trait Fake {
    /// Filter with the faults in force.
    fn gate(&self) -> &Gate;
    /// What was executed so far.
    fn journal(&self) -> Value;
    /// Puts the faults in force that only this stand-in knows.
    fn fault(&self, _faults: &Faults) {}
    /// Control calls, which no fault holds up.
    fn control(&self, _call: &Call) -> Option<Reply> {
        None
    }
    /// Answers a call.
    fn serve(self: Rc<Self>, call: Call) -> LocalBoxFuture<'static, Result<Reply>>;
}

/// A listening stand-in; dropping it ends the listening.
pub struct Server {
    /// Where it listens, with the port that the system chose.
    pub address: SocketAddr,
    _accept: JoinHandle<()>,
}

impl Server {
    /// Listens on `address`; every call takes `delay` there and `delay` back.
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
    /// Wait after a failed accept, as when file descriptors run out.
    const PAUSE: Duration = Duration::from_millis(20);
    loop {
        let Ok((stream, peer)) = listener.accept().await else {
            sleep(PAUSE).await;
            continue;
        };
        compio::runtime::spawn(connection(stream, peer, Rc::clone(&fake), delay)).detach();
    }
}

async fn connection(stream: TcpStream, peer: SocketAddr, fake: Rc<dyn Fake>, delay: Duration) {
    // Small parts must not wait for more.
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let service = service_fn(move |request: Request<Incoming>| {
        let fake = Rc::clone(&fake);
        async move { answer(fake, request, peer, delay).await }
    });
    let served = http1::Builder::new().serve_connection(HyperStream::new_plain(stream), service);
    // A broken connection is the caller's matter, or a fault's.
    drop(served.await);
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
    let pass = fake.gate().pass().await;
    if pass == Pass::Refuse {
        return Ok(reply::error(StatusCode::SERVICE_UNAVAILABLE, "outage"));
    }
    let reply = Rc::clone(&fake).serve(call).await?;
    if pass == Pass::Lose {
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
            fake.gate().set(&faults);
            fake.fault(&faults);
            reply::json(StatusCode::OK, &json!({}))
        }
        Err(err) => reply::error(StatusCode::BAD_REQUEST, &err.to_string()),
    }
}

fn journal(fake: &dyn Fake) -> Value {
    let (refused, lost) = fake.gate().counts();
    let mut journal = fake.journal();
    journal["fault_refused"] = refused.into();
    journal["fault_lost"] = lost.into();
    journal
}
