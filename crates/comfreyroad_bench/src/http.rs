//! HTTP calls to fake services and entries.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use ::http::{Method, Request, StatusCode};
use bytes::Bytes;
use comfreyroad_net::body::Body;
use comfreyroad_net::client::{Client, read_all};
use compio::time::sleep;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::{Error, Result};

/// Timeout of one call.
const TIMEOUT: Duration = Duration::from_secs(3);
/// Interval between two polls of a peer that isn't ready.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Largest accepted answer body in bytes.
const MAX_BYTES: usize = 64 * 1024 * 1024;

/// HTTP client of fake services and entries.
#[derive(Clone, Default)]
pub struct Http {
    client: Client,
}

impl Http {
    /// Sends a GET request and parses the JSON answer.
    pub async fn get<T: DeserializeOwned>(
        &self,
        step: &'static str,
        peer: SocketAddr,
        path: &str,
    ) -> Result<T> {
        let request = Request::builder().uri(path).body(Body::default());
        let bytes = self.call(step, peer, request).await?;
        serde_json::from_slice(&bytes).map_err(|source| Error::Json {
            step,
            peer: peer.to_string(),
            source,
        })
    }

    /// Sends a POST request with a JSON body.
    pub async fn post(
        &self,
        step: &'static str,
        peer: SocketAddr,
        path: &str,
        body: &impl Serialize,
    ) -> Result<()> {
        let json = serde_json::to_vec(body).map_err(|source| Error::Json {
            step,
            peer: peer.to_string(),
            source,
        })?;
        let request = Request::builder()
            .method(Method::POST)
            .uri(path)
            .header("content-type", "application/json")
            .body(Body::full(json));
        self.call(step, peer, request).await?;
        Ok(())
    }

    /// Polls a path until the answer is 200.
    pub async fn wait_until_ok(
        &self,
        step: &'static str,
        peer: SocketAddr,
        path: &str,
        deadline: Instant,
    ) -> Result<()> {
        loop {
            let request = Request::builder().uri(path).body(Body::default());
            let Err(error) = self.call(step, peer, request).await else {
                return Ok(());
            };
            if Instant::now() >= deadline {
                return Err(error);
            }
            sleep(POLL_INTERVAL).await;
        }
    }

    async fn call(
        &self,
        step: &'static str,
        peer: SocketAddr,
        request: ::http::Result<Request<Body>>,
    ) -> Result<Bytes> {
        let fail = |source| Error::Call {
            step,
            source: Box::new(source),
        };
        let request = request.map_err(|source| Error::Request { step, peer, source })?;
        let deadline = Instant::now() + TIMEOUT;
        let answer = self.client.call(peer, request, deadline).await;
        let answer = answer.map_err(fail)?;
        let status = answer.status();
        let bytes = read_all(peer, answer.into_body(), MAX_BYTES, deadline).await;
        let bytes = bytes.map_err(fail)?;
        if status != StatusCode::OK {
            return Err(Error::Status { step, peer, status });
        }
        Ok(bytes)
    }
}
