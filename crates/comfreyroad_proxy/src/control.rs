//! What peers and operators ask, on the control address.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use comfreyroad_net::body::Body;
use comfreyroad_net::client::read_all;
use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;

use crate::outside;
use crate::shared::Shared;

/// Where peers exchange frames.
pub const GOSSIP_PATH: &str = "/gossip";
/// Where metrics are read.
const METRICS_PATH: &str = "/metrics";
/// Longest frame: a configuration of thousands of routes fits.
pub const MAX_FRAME_BYTES: usize = 4 * 1024 * 1024;
/// Time for a frame to arrive.
const FRAME_TIMEOUT: Duration = Duration::from_secs(1);

/// Answers a peer or an operator.
pub async fn answer(
    shared: Rc<Shared>,
    request: Request<Incoming>,
    peer: SocketAddr,
) -> Response<Body> {
    match (request.method(), request.uri().path()) {
        (&Method::POST, GOSSIP_PATH) => gossip(&shared, request, peer).await,
        (&Method::GET, METRICS_PATH) => {
            let text = shared
                .metrics
                .encode(&shared.router.borrow(), shared.open.get());
            Response::new(Body::full(text))
        }
        _ => status(StatusCode::NOT_FOUND),
    }
}

async fn gossip(
    shared: &Rc<Shared>,
    request: Request<Incoming>,
    peer: SocketAddr,
) -> Response<Body> {
    let deadline = Instant::now() + FRAME_TIMEOUT;
    let body = match read_all(peer, request.into_body(), MAX_FRAME_BYTES, deadline).await {
        Ok(body) => body,
        Err(error) => {
            log::debug!("gossip: {error}");
            return status(StatusCode::BAD_REQUEST);
        }
    };
    let frame = match rmp_serde::from_slice(&body) {
        Ok(frame) => frame,
        Err(error) => {
            log::debug!("gossip of {peer}: {error}");
            return status(StatusCode::BAD_REQUEST);
        }
    };
    let now = crate::clock::now();
    let (frame, actions) = shared.router.borrow_mut().exchange(now, frame);
    outside::carry_out(shared, actions);
    match rmp_serde::to_vec_named(&frame) {
        Ok(bytes) => Response::new(Body::full(bytes)),
        Err(error) => {
            log::warn!("answer to gossip of {peer}: {error}");
            status(StatusCode::INTERNAL_SERVER_ERROR)
        }
    }
}

fn status(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(Body::default());
    *response.status_mut() = status;
    response
}
