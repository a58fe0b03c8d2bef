use std::cell::Cell;
use std::rc::Rc;

use crate::id::{Address, BootId, UpstreamId, ZoneId};

/// Capacity for one request at an upstream, released on drop.
#[derive(Debug)]
pub struct Slot {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Its IP number and port.
    pub address: Address,
    /// Its zone.
    pub zone: ZoneId,
    /// The start of its program for which the slot is valid, where known.
    pub boot: Option<BootId>,
    in_flight: Rc<Cell<u32>>,
}

impl Slot {
    pub(crate) fn take(info: &super::Info) -> Self {
        info.in_flight.set(info.in_flight.get() + 1);
        Self {
            upstream: info.id.clone(),
            address: info.address.clone(),
            zone: info.zone.clone(),
            boot: info.boot.clone(),
            in_flight: Rc::clone(&info.in_flight),
        }
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.in_flight.set(self.in_flight.get().saturating_sub(1));
    }
}
