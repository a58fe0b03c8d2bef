use std::time::Instant;

use crate::id::{Address, ZoneId};
use crate::upstream::VmState;

/// An entry of the router as the VM list shows it.
#[derive(Clone, Debug)]
pub(super) struct Listing {
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
