use std::net::SocketAddr;

use comfreyroad_wire::platform::{Kind, Vms};
use futures_util::future::join_all;

use crate::{Client, Error, Settings, Status};

/// Where the entries are, as settings or the VM list say.
#[derive(Clone, Debug)]
pub struct Entries {
    addresses: Vec<SocketAddr>,
    vms: Option<SocketAddr>,
}

impl Entries {
    /// The entries that settings name.
    pub fn new(settings: &Settings) -> Self {
        Self {
            addresses: settings.entries.clone(),
            vms: settings.vms,
        }
    }

    /// Whether there is a way to find entries.
    pub fn is_known(&self) -> bool {
        !self.addresses.is_empty() || self.vms.is_some()
    }

    /// Their addresses. Entries on the VM list come and go, so ask each time.
    pub async fn list(&self, client: &Client) -> Result<Vec<SocketAddr>, Error> {
        let mut addresses = self.addresses.clone();
        if let Some(peer) = self.vms {
            let list: Vms = client.get("list VMs", peer, "/v1/vms").await?;
            for vm in list.vms.into_iter().filter(|vm| vm.kind == Kind::Entry) {
                let Ok(address) = vm.address.parse() else {
                    return Err(Error::Address { peer, vm: vm.id });
                };
                addresses.push(address);
            }
        }
        addresses.sort();
        addresses.dedup();
        Ok(addresses)
    }

    /// What each of them says.
    pub async fn ask(
        &self,
        client: &Client,
    ) -> Result<Vec<(SocketAddr, Result<Status, Error>)>, Error> {
        let addresses = self.list(client).await?;
        let calls = addresses
            .into_iter()
            .map(|address| async move { (address, Status::of(client, address).await) });
        Ok(join_all(calls).await)
    }
}
