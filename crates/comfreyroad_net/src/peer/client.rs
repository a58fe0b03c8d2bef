use std::{net::SocketAddr, time::Instant};

use bytes::Bytes;
use http::{Method, Request, StatusCode, header::CONTENT_TYPE};

use crate::{
    body::Body,
    client::{self, Error, read_all},
};

/// Media type of frames.
const MESSAGE_PACK: &str = "application/msgpack";

/// Maximum length of a frame.
const MAX_FRAME_BYTES: usize = 64 * 1024 * 1024;

/// Exchanges encoded frames with other entries.
#[derive(Clone)]
pub struct Client {
    client: client::Client,
}

impl Client {
    /// Creates a peer client that sends its requests through `client`.
    pub fn new(client: client::Client) -> Self {
        Self { client }
    }

    /// Sends a frame to the entry at `address` and returns the frame in its response.
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
        let response = self.client.call(address, request, deadline).await?;
        match response.status() {
            StatusCode::OK => {
                read_all(address, response.into_body(), MAX_FRAME_BYTES, deadline).await
            }
            status => Err(Error::status(address, status)),
        }
    }
}
