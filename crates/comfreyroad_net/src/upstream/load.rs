use std::{net::SocketAddr, time::Instant};

use comfreyroad_wire::engine as wire;

use crate::client::{self, Client, Error};

/// Asks upstreams for their load.
#[derive(Clone)]
pub struct LoadReports {
    client: Client,
}

impl LoadReports {
    /// Asks by `client`.
    pub fn new(client: Client) -> Self {
        Self { client }
    }

    /// The load that the upstream at `address` reports.
    pub async fn get(&self, address: SocketAddr, deadline: Instant) -> Result<wire::Load, Error> {
        let answer = client::get(&self.client, address, "/v1/load", deadline).await?;
        client::parse(address, &answer)
    }
}
