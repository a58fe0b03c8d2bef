use std::{net::SocketAddr, time::Instant};

use comfreyroad_wire::engine as wire;

use crate::client::{self, Client, Error};

/// Fetches load reports of upstreams.
#[derive(Clone)]
pub struct LoadReports {
    client: Client,
}

impl LoadReports {
    /// Creates a client that sends its requests through `client`.
    pub fn new(client: Client) -> Self {
        Self { client }
    }

    /// Fetches the load report of the upstream at `address`.
    pub async fn get(&self, address: SocketAddr, deadline: Instant) -> Result<wire::Load, Error> {
        let response = client::get(&self.client, address, "/v1/load", deadline).await?;
        client::parse(address, &response)
    }
}
