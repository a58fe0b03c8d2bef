use serde::{Deserialize, Serialize};

use crate::id::{Address, EntryId, Incarnation, ZoneId};

/// What an entry says of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Peer {
    /// Its name.
    pub entry: EntryId,
    /// IP number and port for gossip.
    pub address: Address,
    /// Its availability zone.
    pub zone: ZoneId,
    /// The start of its program.
    pub incarnation: Incarnation,
    /// Its heartbeat; rises while it lives.
    pub heartbeat: u64,
    /// What its VM may use of a processor, in thousandths of a core.
    #[serde(default)]
    pub millicores: u32,
}

impl Peer {
    /// Whether this is newer than what was known of the same entry.
    pub fn is_newer_than(&self, other: &Self) -> bool {
        (self.incarnation, self.heartbeat) > (other.incarnation, other.heartbeat)
    }
}
