use std::{net::SocketAddr, time::Instant};

use comfreyroad_wire::platform as wire;

use crate::client::{self, Client, Error};

/// A client of the rating service.
#[derive(Clone)]
pub struct Ratings {
    client: Client,
    address: SocketAddr,
}

impl Ratings {
    /// Creates a client of the service at `address`.
    pub fn new(client: Client, address: SocketAddr) -> Self {
        Self { client, address }
    }

    /// Requests a rating of an answer.
    pub async fn rate(
        &self,
        answer: &wire::Answer,
        deadline: Instant,
    ) -> Result<wire::Rating, Error> {
        let response =
            client::post(&self.client, self.address, "/v1/ratings", answer, deadline).await?;
        client::parse(self.address, &response)
    }
}
