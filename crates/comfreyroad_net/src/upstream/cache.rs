use std::{net::SocketAddr, time::Instant};

use comfreyroad_wire::engine as wire;

use crate::client::{self, Client, Error};

/// Asks engines how their prefix caches changed.
#[derive(Clone)]
pub struct CacheEvents {
    client: Client,
}

impl CacheEvents {
    /// Asks by `client`.
    pub fn new(client: Client) -> Self {
        Self { client }
    }

    /// The events of the engine at `address` from number `from` on.
    pub async fn read(
        &self,
        address: SocketAddr,
        from: u64,
        deadline: Instant,
    ) -> Result<wire::CacheEvents, Error> {
        let path = format!("/v1/cache/events?from={from}");
        let answer = client::get(&self.client, address, &path, deadline).await?;
        client::parse(address, &answer)
    }
}
