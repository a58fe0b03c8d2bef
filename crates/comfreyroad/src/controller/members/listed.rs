use std::time::Instant;

use crate::id::{Address, ZoneId};
use crate::upstream::VmState;

/// An entry of the VM list.
#[derive(Clone, Debug)]
pub(super) struct Listed {
    /// Its zone.
    pub(super) zone: ZoneId,
    /// Its IP number and port.
    pub(super) address: Address,
    /// What the list says of it.
    pub(super) state: VmState,
    /// When it was last heard, or first listed.
    pub(super) heard: Instant,
    /// Whether it has said that it takes no work.
    pub(super) has_left: bool,
}
