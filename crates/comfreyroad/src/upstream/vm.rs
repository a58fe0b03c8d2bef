use crate::id::{Address, PoolId, ZoneId};
use std::sync::Arc;

/// A VM of the platform's list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Vm {
    /// Its name: an entry's or an upstream's id.
    pub id: Arc<str>,
    /// What runs on it.
    pub kind: VmKind,
    /// Pool of an upstream; empty for an entry.
    pub pool: PoolId,
    /// Availability zone.
    pub zone: ZoneId,
    /// IP number and port.
    pub address: Address,
    /// Whether it stays.
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

/// Whether a VM stays.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VmState {
    /// It takes work.
    Live,
    /// It finishes what it has.
    Leaving,
}
