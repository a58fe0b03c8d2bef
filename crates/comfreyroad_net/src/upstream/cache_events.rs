use std::{net::SocketAddr, time::Instant};

use comfreyroad_wire::engine as wire;

use crate::client::{self, Client, Error};

/// Reads the prefix cache events of engines.
#[derive(Clone)]
pub struct CacheEvents {
    client: Client,
}

impl CacheEvents {
    /// Creates a reader that sends its requests through `client`.
    pub fn new(client: Client) -> Self {
        Self { client }
    }

    /// Reads the events of the engine at `address` from sequence number `from` on.
    pub async fn read(
        &self,
        address: SocketAddr,
        from: u64,
        deadline: Instant,
    ) -> Result<wire::CacheEvents, Error> {
        let path = format!("/v1/cache/events?from={from}");
        let response = client::get(&self.client, address, &path, deadline).await?;
        client::parse(address, &response)
    }
}
