use std::{net::SocketAddr, time::Instant};

use http::{Request, StatusCode};

use crate::{
    body::Body,
    client::{self, Client, Error, Reader},
};

/// A client of the weight store.
#[derive(Clone)]
pub struct Weights {
    client: Client,
    address: SocketAddr,
}

impl Weights {
    /// Creates a client of the store at `address`.
    pub fn new(client: Client, address: SocketAddr) -> Self {
        Self { client, address }
    }

    /// Starts to fetch the weights of a version, given as `model@version`. `deadline` applies to the head of the
    /// response.
    pub async fn fetch(&self, version: &str, deadline: Instant) -> Result<Reader, FetchError> {
        let request = Request::builder()
            .uri(format!("/v1/weights/{version}"))
            .body(Body::default())
            .map_err(|error| Error::request(self.address, error.into()))?;
        let response = self.client.call(self.address, request, deadline).await?;
        match response.status() {
            StatusCode::OK => Ok(Reader::new(self.address, response.into_body())),
            StatusCode::TOO_MANY_REQUESTS => Err(FetchError::Busy {
                retry_at: client::retry_after(response.headers()),
            }),
            status => Err(Error::status(self.address, status).into()),
        }
    }
}

/// A failed fetch of weights.
#[derive(Debug, thiserror::Error)]
pub enum FetchError {
    /// The store is overloaded.
    #[error("weight store busy")]
    Busy {
        /// Earliest time for a retry, if the store gave one.
        retry_at: Option<Instant>,
    },
    /// The call failed.
    #[error(transparent)]
    Call(#[from] Error),
}
