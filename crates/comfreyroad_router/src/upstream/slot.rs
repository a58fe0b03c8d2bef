use std::cell::Cell;
use std::rc::Rc;

use crate::id::{Address, Incarnation, PoolId, UpstreamId, VersionId, ZoneId};

/// One request's place at an upstream, given back on drop.
#[derive(Debug)]
pub struct Slot {
    /// The upstream.
    pub upstream: UpstreamId,
    /// The start of its program.
    pub incarnation: Incarnation,
    /// IP number and port.
    pub address: Address,
    /// Its zone.
    pub zone: ZoneId,
    /// Its pool.
    pub pool: PoolId,
    /// The version of its software.
    pub version: VersionId,
    open: Rc<Cell<u32>>,
}

impl Slot {
    pub(super) fn take(upstream: &super::Upstream) -> Self {
        let open = Rc::clone(&upstream.open);
        open.set(open.get() + 1);
        let registration = &upstream.registration;
        Self {
            upstream: upstream.id.clone(),
            incarnation: registration.incarnation,
            address: registration.address.clone(),
            zone: registration.zone.clone(),
            pool: registration.pool.clone(),
            version: registration.version.clone(),
            open,
        }
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.open.set(self.open.get().saturating_sub(1));
    }
}
