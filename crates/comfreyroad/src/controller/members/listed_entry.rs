use std::time::Instant;

use crate::id::{Address, ZoneId};
use crate::upstream::VmState;

/// A router entry from the VM list.
#[derive(Clone, Debug)]
pub(super) struct ListedEntry {
    /// The entry's zone.
    pub(super) zone: ZoneId,
    /// The entry's IP address and port.
    pub(super) address: Address,
    /// The state given in the list.
    pub(super) state: VmState,
    /// When its last heartbeat arrived, or when it was first listed.
    pub(super) last_heard: Instant,
    /// Whether its last heartbeat said that it accepts no work.
    pub(super) has_stopped_serving: bool,
}
