use std::{net::SocketAddr, time::Instant};

use http::StatusCode;

use crate::client::{self, Client, Error};

/// Cancels attempts on engines.
#[derive(Clone)]
pub struct Cancellations {
    client: Client,
}

impl Cancellations {
    /// Creates a client that sends its requests through `client`.
    pub fn new(client: Client) -> Self {
        Self { client }
    }

    /// Asks the engine at `address` to cancel the attempt with id `attempt`.
    pub async fn send(
        &self,
        address: SocketAddr,
        attempt: &str,
        deadline: Instant,
    ) -> Result<(), Error> {
        let message = Message { attempt };
        let response =
            client::post(&self.client, address, "/v1/cancel", &message, deadline).await?;
        match response.status() {
            StatusCode::OK => Ok(()),
            status => Err(Error::status(address, status)),
        }
    }
}

#[derive(serde::Serialize)]
struct Message<'a> {
    attempt: &'a str,
}
