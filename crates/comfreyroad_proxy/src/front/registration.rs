use comfreyroad_router::id::UpstreamId;

use super::registry::{Key, Registry};

/// Keeps a request in the [`Registry`] until dropped.
#[derive(Debug)]
pub(super) struct Registration {
    registry: Registry,
    key: Key,
}

impl Registration {
    pub(super) fn new(registry: Registry, key: Key) -> Self {
        Self { registry, key }
    }

    /// Records the upstream to which the request is sent.
    pub(super) fn record_upstream(&self, upstream: &UpstreamId) {
        self.registry
            .update(self.key, |open| open.upstream = Some(upstream.clone()));
    }

    /// Records that the caller gets the head of its answer.
    pub(super) fn record_start(&self) {
        self.registry
            .update(self.key, |open| open.has_started = true);
    }
}

impl Drop for Registration {
    fn drop(&mut self) {
        self.registry.remove(self.key);
    }
}
