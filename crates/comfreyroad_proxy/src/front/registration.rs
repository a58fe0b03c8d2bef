use std::cell::Cell;
use std::rc::Rc;

use comfreyroad_router::id::UpstreamId;
use futures_util::future::AbortRegistration;

use super::registry::{Key, Registry};

/// Keeps a request in the [`Registry`] until dropped.
#[derive(Debug)]
pub(super) struct Registration {
    registry: Registry,
    key: Key,
    was_sent: Rc<Cell<bool>>,
}

impl Registration {
    pub(super) fn new(registry: Registry, key: Key) -> Self {
        Self {
            registry,
            key,
            was_sent: Rc::default(),
        }
    }

    /// Whether the request was sent to an upstream; stays readable when the registration is dropped.
    pub(super) fn was_sent(&self) -> Rc<Cell<bool>> {
        self.was_sent.clone()
    }

    /// Records the upstream to which the request is sent.
    pub(super) fn record_upstream(&self, upstream: &UpstreamId) {
        self.was_sent.set(true);
        self.registry.record_upstream(self.key, upstream);
    }

    /// Records that the caller gets the head of its answer. The returned value aborts the forwarding of the rest at the end of the
    /// process.
    pub(super) fn record_start(&self) -> AbortRegistration {
        self.registry.record_start(self.key)
    }
}

impl Drop for Registration {
    fn drop(&mut self) {
        self.registry.remove(self.key);
    }
}
