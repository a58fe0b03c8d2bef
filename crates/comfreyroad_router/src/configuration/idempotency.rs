use serde::{Deserialize, Serialize};

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Idempotency {
    /// It may run any number of times.
    Idempotent,
    /// It runs at most once.
    Once,
    /// It yields a stream of events that another run can resume after the last event that arrived.
    Resumable,
}

impl Idempotency {
    /// Whether a request that may have run may be sent again.
    pub fn may_retry(self) -> bool {
        !matches!(self, Self::Once)
    }
}
