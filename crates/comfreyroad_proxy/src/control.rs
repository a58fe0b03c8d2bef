//! HTTP handler of the control address: gossip of peers, and metrics.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use comfreyroad_net::body::Body;
use comfreyroad_net::client::read_all;
use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;

use crate::actions;
use crate::frames;
use crate::shared::Shared;

/// Path on which peers exchange gossip frames.
pub const GOSSIP_PATH: &str = "/gossip";
/// Path of the Prometheus metrics.
const METRICS_PATH: &str = "/metrics";
/// Upper bound on an encoded frame; a configuration with thousands of routes fits.
pub const MAX_FRAME_BYTES: usize = 4 * 1024 * 1024;
/// Timeout for receiving a frame.
const FRAME_TIMEOUT: Duration = Duration::from_secs(1);

/// Handles a request of a peer or an operator.
pub async fn handle(
    shared: Rc<Shared>,
    request: Request<Incoming>,
    peer: SocketAddr,
) -> Response<Body> {
    match (request.method(), request.uri().path()) {
        (&Method::POST, GOSSIP_PATH) => handle_gossip(&shared, request, peer).await,
        (&Method::GET, METRICS_PATH) => {
            let text = shared
                .metrics
                .encode(&shared.router.borrow(), shared.registry.len());
            Response::new(Body::full(text))
        }
        _ => empty_response(StatusCode::NOT_FOUND),
    }
}

async fn handle_gossip(
    shared: &Rc<Shared>,
    request: Request<Incoming>,
    peer: SocketAddr,
) -> Response<Body> {
    let deadline = Instant::now() + FRAME_TIMEOUT;
    let body = match read_all(peer, request.into_body(), MAX_FRAME_BYTES, deadline).await {
        Ok(body) => body,
        Err(error) => {
            log::debug!("cannot read gossip frame: {error}");
            return empty_response(StatusCode::BAD_REQUEST);
        }
    };
    let frame = match rmp_serde::from_slice(&body) {
        Ok(frame) => frame,
        Err(error) => {
            log::debug!("cannot decode gossip frame of {peer}: {error}");
            return empty_response(StatusCode::BAD_REQUEST);
        }
    };
    let now = crate::clock::now();
    let (frame, actions) = shared.router.borrow_mut().exchange(now, frame);
    actions::execute(shared, actions);
    match frames::encode(&frame) {
        Ok(bytes) => Response::new(Body::full(bytes)),
        Err(error) => {
            log::warn!("cannot encode gossip response to {peer}: {error}");
            empty_response(StatusCode::INTERNAL_SERVER_ERROR)
        }
    }
}

fn empty_response(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(Body::default());
    *response.status_mut() = status;
    response
}
