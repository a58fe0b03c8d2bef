use std::{
    cell::Cell,
    convert::Infallible,
    future::{Future, poll_fn},
    net::SocketAddr,
    pin::{Pin, pin},
    time::{Duration, Instant},
};

use cyper_core::CompioTimer;
use futures_util::future::{Either, select};
use http::{HeaderValue, Request, Response, header::CONNECTION};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};

use super::{limits::Limits, state::Registration};
use crate::{
    body::Body,
    stream::{Handle, Stream},
};

/// Time that a new connection gets for its first request when the server stops.
const FIRST_REQUEST_TIME: Duration = Duration::from_secs(1);

/// Least length of a connection's buffer that hyper accepts.
const MIN_BUFFER_BYTES: usize = 8192;

/// One accepted connection.
pub(super) struct Connection {
    pub(super) stream: Stream,
    pub(super) peer: SocketAddr,
    pub(super) registration: Registration,
    pub(super) limits: Limits,
}

impl Connection {
    /// Answers the requests of the connection until it ends.
    pub(super) async fn run<F>(self, handler: impl Fn(Request<Incoming>, SocketAddr) -> F)
    where
        F: Future<Output = Response<Body>>,
    {
        let Self {
            stream,
            peer,
            registration,
            limits,
        } = self;
        let handle = stream.handle();
        let has_request = Cell::new(false);
        let is_stopping = Cell::new(false);
        let service = service_fn(|request| {
            has_request.set(true);
            let response = handler(request, peer);
            let (handle, is_stopping) = (&handle, &is_stopping);
            async move {
                let mut response = response.await;
                if is_stopping.get() {
                    let close = HeaderValue::from_static("close");
                    response.headers_mut().insert(CONNECTION, close);
                }
                response.body().bind(handle);
                Ok::<_, Infallible>(response)
            }
        });
        let mut connection = pin!(builder(limits).serve_connection(stream, service));

        let stop = pin!(poll_fn(|cx| registration.poll_stop(cx)));
        let result = match select(connection.as_mut(), stop).await {
            Either::Left((result, _)) => Some(result),
            Either::Right((deadline, _)) => {
                is_stopping.set(true);
                let mut result = None;
                if !has_request.get() {
                    // hyper would close a connection on which nothing has arrived yet.
                    let until = deadline.min(Instant::now() + FIRST_REQUEST_TIME);
                    result = run_until(until, connection.as_mut()).await;
                }
                if result.is_none() {
                    connection.as_mut().graceful_shutdown();
                    result = run_until(deadline, connection.as_mut()).await;
                }
                result
            }
        };
        if result.is_none() {
            registration.record_cut();
        }
        finish(&handle, peer, result);
    }
}

/// Runs `connection` until `deadline`, and returns its result if it ends in time.
async fn run_until<T>(
    deadline: Instant,
    connection: Pin<&mut impl Future<Output = T>>,
) -> Option<T> {
    compio::time::timeout_at(deadline, connection).await.ok()
}

/// Resets a connection that ended in the middle of a response. `result` is `None` if the server cut it off.
fn finish(handle: &Handle, peer: SocketAddr, result: Option<hyper::Result<()>>) {
    let is_truncated = match result {
        Some(Ok(())) => false,
        Some(Err(error)) => {
            log::debug!("connection from {peer}: {error}");
            error.is_user()
        }
        None => {
            log::debug!("connection from {peer}: closed at the deadline of the server's shutdown");
            true
        }
    };
    if is_truncated && let Err(error) = handle.reset() {
        log::debug!("reset of the connection from {peer} failed: {error}");
    }
}

fn builder(limits: Limits) -> http1::Builder {
    let mut builder = http1::Builder::new();
    builder
        .timer(CompioTimer)
        .header_read_timeout(limits.header_timeout)
        .max_headers(limits.max_headers)
        .max_header_size(limits.max_header_bytes)
        // hyper would keep buffers of several times that length while the connection rests.
        .max_buf_size(limits.max_header_bytes.max(MIN_BUFFER_BYTES));
    builder
}
