use serde::{Deserialize, Serialize};

use crate::id::{Address, EntryId, Incarnation, ZoneId};

/// An entry as it describes itself to others.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Peer {
    /// The name of the entry.
    #[serde(deserialize_with = "super::text::deserialize")]
    pub entry: EntryId,
    /// IP address and port for gossip.
    #[serde(deserialize_with = "super::text::deserialize")]
    pub address: Address,
    /// The availability zone.
    #[serde(deserialize_with = "super::text::deserialize")]
    pub zone: ZoneId,
    /// Start time of the process, which tells restarts of the entry apart.
    pub incarnation: Incarnation,
    /// Heartbeat counter; increases as long as the entry is alive.
    pub heartbeat: u64,
    /// Processor share of its VM, in thousandths of a core.
    #[serde(default)]
    pub millicores: u32,
}

impl Peer {
    /// Whether this description is newer than another one of the same entry.
    pub fn is_newer_than(&self, other: &Self) -> bool {
        (self.incarnation, self.heartbeat) > (other.incarnation, other.heartbeat)
    }
}
