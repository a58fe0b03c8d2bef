use std::net::SocketAddr;

use super::Policy;
use crate::{VmId, ZoneId};

/// Settings of a baseline router.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of the router.
    pub entry: VmId,
    /// Availability zone of the router.
    pub zone: ZoneId,
    /// Listen address.
    pub listen: SocketAddr,
    /// Address of the log service.
    pub log: SocketAddr,
    /// Address of the VM list.
    pub vms: SocketAddr,
    /// Policy that selects upstream and model.
    pub policy: Policy,
    /// Random seed.
    pub seed: u64,
}
