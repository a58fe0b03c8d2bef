use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

/// Whether the connection of a response may be used again; in the extensions of each response. Clones share one state.
///
/// A connection is used again once its response has been read to its end. Only the caller can tell whether that was the response to
/// its request, so that none is left to come.
#[derive(Clone, Debug, Default)]
pub struct Reuse {
    // Extensions must be able to move between threads.
    is_forbidden: Arc<AtomicBool>,
}

impl Reuse {
    /// Has the connection closed instead.
    pub fn forbid(&self) {
        self.is_forbidden.store(true, Ordering::Relaxed);
    }

    pub(super) fn is_allowed(&self) -> bool {
        !self.is_forbidden.load(Ordering::Relaxed)
    }
}
