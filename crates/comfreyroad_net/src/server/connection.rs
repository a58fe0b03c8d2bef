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
    /// Answers the connection's requests until it ends.
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
            let answer = handler(request, peer);
            let handle = &handle;
            async move {
                let answer = answer.await;
                answer.body().bind(handle);
                Ok::<_, Infallible>(answer)
            }
        });
        let mut connection = pin!(builder(limits).serve_connection(stream, service));

        let stop = pin!(poll_fn(|cx| registration.poll_stop(cx)));
        let ended = match select(connection.as_mut(), stop).await {
            Either::Left((result, _)) => Some(result),
            Either::Right((deadline, _)) => {
                connection.as_mut().graceful_shutdown();
                before(deadline, connection.as_mut()).await
            }
        };
        end(&handle, peer, ended);
    }
}

/// The result of `connection`, if it ends before `deadline`.
async fn before<T>(deadline: Instant, connection: Pin<&mut impl Future<Output = T>>) -> Option<T> {
    compio::time::timeout_at(deadline, connection).await.ok()
}

/// Sees to it that a connection whose answer broke off ends by a reset.
fn end(handle: &Handle, peer: SocketAddr, ended: Option<hyper::Result<()>>) {
    let broken = match ended {
        Some(Ok(())) => false,
        Some(Err(error)) => {
            log::debug!("connection from {peer}: {error}");
            error.is_user()
        }
        None => {
            log::debug!("connection from {peer}: cut at the server's stop");
            true
        }
    };
    if broken && let Err(error) = handle.reset() {
        log::debug!("reset of the connection from {peer}: {error}");
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
