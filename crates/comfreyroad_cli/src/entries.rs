use std::net::SocketAddr;

use comfreyroad_wire::platform::{Kind, Vms};
use futures_util::future::join_all;

use crate::{Client, Error, Settings, Status};

/// Finds the entries, by the addresses in the settings and by the VM list.
#[derive(Clone, Debug)]
pub struct Entries {
    addresses: Vec<SocketAddr>,
    vms: Option<SocketAddr>,
}

impl Entries {
    /// Takes the addresses and the VM list from the settings.
    pub fn new(settings: &Settings) -> Self {
        Self {
            addresses: settings.entries.clone(),
            vms: settings.vms,
        }
    }

    /// Whether the settings give an entry address or a VM list.
    pub fn is_configured(&self) -> bool {
        !self.addresses.is_empty() || self.vms.is_some()
    }

    /// Lists the addresses of the entries. The VM list changes as entries start and stop, so it is read on each call.
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

    /// Requests the status of each entry.
    pub async fn statuses(
        &self,
        client: &Client,
    ) -> Result<Vec<(SocketAddr, Result<Status, Error>)>, Error> {
        let addresses = self.list(client).await?;
        let calls = addresses
            .into_iter()
            .map(|address| async move { (address, Status::fetch(client, address).await) });
        Ok(join_all(calls).await)
    }
}
