use serde::{Deserialize, Serialize};

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Idempotency {
    /// A second run does no harm.
    Idempotent,
    /// It runs once at most.
    Once,
    /// A stream of events that another run can go on with, after the last event that arrived.
    Resumable,
}

impl Idempotency {
    /// Whether a request whose fate is unknown may be sent again.
    pub fn may_retry(self) -> bool {
        !matches!(self, Self::Once)
    }
}
