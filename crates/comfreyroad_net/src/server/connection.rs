use std::{
    convert::Infallible,
    future::{Future, poll_fn},
    net::SocketAddr,
    pin::{Pin, pin},
    time::Instant,
};

use cyper_core::CompioTimer;
use futures_util::future::{Either, select};
use http::{Request, Response};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};

use super::{limits::Limits, state::Registration};
use crate::{
    body::Body,
    stream::{Handle, Stream},
};

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
        let service = service_fn(|request| {
            let response = handler(request, peer);
            let handle = &handle;
            async move {
                let response = response.await;
                response.body().bind(handle);
                Ok::<_, Infallible>(response)
            }
        });
        let mut connection = pin!(builder(limits).serve_connection(stream, service));

        let stop = pin!(poll_fn(|cx| registration.poll_stop(cx)));
        let result = match select(connection.as_mut(), stop).await {
            Either::Left((result, _)) => Some(result),
            Either::Right((deadline, _)) => {
                connection.as_mut().graceful_shutdown();
                run_until(deadline, connection.as_mut()).await
            }
        };
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
        .max_header_size(limits.max_header_bytes);
    builder
}
