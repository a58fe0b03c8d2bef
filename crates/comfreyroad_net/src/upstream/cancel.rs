use std::{net::SocketAddr, time::Instant};

use http::StatusCode;

use crate::client::{self, Client, Error};

/// Tells engines to give attempts up.
#[derive(Clone)]
pub struct Cancel {
    client: Client,
}

impl Cancel {
    /// Tells by `client`.
    pub fn new(client: Client) -> Self {
        Self { client }
    }

    /// Tells the engine at `address` to give up an attempt, by its id.
    pub async fn send(
        &self,
        address: SocketAddr,
        attempt: &str,
        deadline: Instant,
    ) -> Result<(), Error> {
        let message = Message { attempt };
        let answer = client::post(&self.client, address, "/v1/cancel", &message, deadline).await?;
        match answer.status() {
            StatusCode::OK => Ok(()),
            status => Err(Error::status(address, status)),
        }
    }
}

#[derive(serde::Serialize)]
struct Message<'a> {
    attempt: &'a str,
}
