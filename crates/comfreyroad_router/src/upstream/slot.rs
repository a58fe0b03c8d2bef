use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Instant;

use super::{Backlog, JobId};
use crate::id::{Address, Incarnation, PoolId, UpstreamId, VersionId};
use crate::work::{Demand, Estimate};

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
    /// When the answer was expected as the slot was chosen.
    pub estimate: Estimate,
    open: Rc<Cell<u32>>,
    backlog: Rc<RefCell<Backlog>>,
    job: JobId,
}

impl Slot {
    pub(super) fn acquire(
        upstream: &super::Upstream,
        now: Instant,
        demand: Demand,
        estimate: Estimate,
    ) -> Self {
        let open = Rc::clone(&upstream.open_requests);
        open.set(open.get() + 1);
        let backlog = Rc::clone(&upstream.backlog);
        let job = backlog.borrow_mut().add(now, demand);
        let registration = &upstream.registration;
        Self {
            upstream: upstream.id.clone(),
            incarnation: registration.incarnation,
            address: registration.address.clone(),
            pool: registration.pool.clone(),
            version: registration.version.clone(),
            estimate,
            open,
            backlog,
            job,
        }
    }

    /// Records that the prefill is finished, and the answer begins.
    pub fn finish_prefill(&self, now: Instant) {
        self.backlog.borrow_mut().finish_prefill(now, self.job);
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.backlog.borrow_mut().remove(self.job);
        self.open.set(self.open.get().saturating_sub(1));
    }
}
