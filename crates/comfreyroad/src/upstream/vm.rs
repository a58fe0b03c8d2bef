use crate::id::{Address, PoolId, ZoneId};
use std::sync::Arc;

/// An item of the platform's VM list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Vm {
    /// Its name: the id of an entry or an upstream.
    pub id: Arc<str>,
    /// What runs on it.
    pub kind: VmKind,
    /// Pool of an upstream; empty for an entry.
    pub pool: PoolId,
    /// Availability zone.
    pub zone: ZoneId,
    /// IP number and port.
    pub address: Address,
    /// Whether it is being removed.
    pub state: VmState,
}

/// What runs on a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VmKind {
    /// An entry.
    Entry,
    /// An upstream.
    Upstream,
}

/// Whether a VM is being removed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VmState {
    /// It accepts new work.
    Live,
    /// It only finishes the work that it has.
    Leaving,
}
