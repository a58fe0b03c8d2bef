use std::net::SocketAddr;

use super::Policy;
use crate::{VmId, ZoneId};

/// Settings of a router to compare with.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Its name.
    pub entry: VmId,
    /// Its zone.
    pub zone: ZoneId,
    /// Where it listens.
    pub listen: SocketAddr,
    /// The log service.
    pub log: SocketAddr,
    /// The VM list.
    pub vms: SocketAddr,
    /// How it chooses.
    pub policy: Policy,
    /// Seed of its random numbers.
    pub seed: u64,
}
