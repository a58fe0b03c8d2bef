use std::{net::SocketAddr, time::Instant};

use comfreyroad_wire::platform as wire;

use crate::client::{self, Client, Error};

/// A client of the service that lists the VMs.
#[derive(Clone)]
pub struct Vms {
    client: Client,
    address: SocketAddr,
}

impl Vms {
    /// Creates a client of the service at `address`.
    pub fn new(client: Client, address: SocketAddr) -> Self {
        Self { client, address }
    }

    /// Fetches the list of VMs that are live or leaving.
    pub async fn list(&self, deadline: Instant) -> Result<wire::Vms, Error> {
        let response = client::get(&self.client, self.address, "/v1/vms", deadline).await?;
        client::parse(self.address, &response)
    }
}
