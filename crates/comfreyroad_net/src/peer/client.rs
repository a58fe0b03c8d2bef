use std::{net::SocketAddr, time::Instant};

use bytes::Bytes;
use http::{Method, Request, StatusCode, header::CONTENT_TYPE};

use crate::{
    body::Body,
    client::{self, Error, read_all},
};

/// Media type of frames.
const MESSAGE_PACK: &str = "application/msgpack";

/// Longest frame that is read.
const MAX_FRAME_BYTES: usize = 64 * 1024 * 1024;

/// Exchanges frames with other entries. What is in them is the caller's business.
#[derive(Clone)]
pub struct Client {
    client: client::Client,
}

impl Client {
    /// Exchanges them by `client`.
    pub fn new(client: client::Client) -> Self {
        Self { client }
    }

    /// Sends a frame to the entry at `address` and returns the one that it answers with.
    pub async fn exchange(
        &self,
        address: SocketAddr,
        frame: Bytes,
        deadline: Instant,
    ) -> Result<Bytes, Error> {
        let request = Request::builder()
            .method(Method::POST)
            .uri("/peer")
            .header(CONTENT_TYPE, MESSAGE_PACK)
            .body(Body::full(frame))
            .map_err(|error| Error::request(address, error.into()))?;
        let answer = self.client.call(address, request, deadline).await?;
        match answer.status() {
            StatusCode::OK => {
                read_all(address, answer.into_body(), MAX_FRAME_BYTES, deadline).await
            }
            status => Err(Error::status(address, status)),
        }
    }
}
