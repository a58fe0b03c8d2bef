use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use super::{Backlog, PrefillId};
use crate::id::{Address, Incarnation, PoolId, UpstreamId, VersionId};

/// A request slot at an upstream, released on drop.
#[derive(Debug)]
pub struct Slot {
    /// The upstream.
    pub upstream: UpstreamId,
    /// The incarnation of the upstream.
    pub incarnation: Incarnation,
    /// IP address and port.
    pub address: Address,
    /// The pool of the upstream.
    pub pool: PoolId,
    /// The software version of the upstream.
    pub version: VersionId,
    open: Rc<Cell<u32>>,
    backlog: Rc<RefCell<Backlog>>,
    job: PrefillId,
}

impl Slot {
    pub(super) fn acquire(
        upstream: &super::Upstream,
        now: Instant,
        prefill_time: Duration,
    ) -> Self {
        let open = Rc::clone(&upstream.open_requests);
        open.set(open.get() + 1);
        let backlog = Rc::clone(&upstream.prefill_backlog);
        let job = backlog.borrow_mut().add(now, prefill_time);
        let registration = &upstream.registration;
        Self {
            upstream: upstream.id.clone(),
            incarnation: registration.incarnation,
            address: registration.address.clone(),
            pool: registration.pool.clone(),
            version: registration.version.clone(),
            open,
            backlog,
            job,
        }
    }

    /// Removes the prompt from the backlog, because its prefill is finished.
    pub fn finish_prefill(&self) {
        self.backlog.borrow_mut().remove(self.job);
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.finish_prefill();
        self.open.set(self.open.get().saturating_sub(1));
    }
}
