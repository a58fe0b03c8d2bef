use crate::event::{Failure, Unwritten};

/// Why an attempt can no longer give a complete answer.
#[derive(Clone, Debug, thiserror::Error)]
pub enum Fault {
    /// The attempt was abandoned before the signal arrived.
    #[error("attempt was abandoned")]
    Late,
    /// The answer carries the tag of another attempt.
    #[error("answer belongs to another attempt")]
    Mismatch,
    /// The upstream rejected the request.
    #[error("status {0}")]
    Status(u16),
    /// A part is missing, or overlaps what the caller has.
    #[error("part at {offset}, expected {delivered}")]
    Gap {
        /// Offset at which the part starts.
        offset: u64,
        /// Offset at which the next part should start.
        delivered: u64,
    },
    /// The number of tokens counted by the upstream differs from the number received.
    #[error("{counted} tokens counted, {delivered} delivered")]
    Count {
        /// Number of tokens counted by the upstream.
        counted: u64,
        /// Number of tokens received.
        delivered: u64,
    },
    /// The upstream or the connection to it failed.
    #[error("{}", .0.reason)]
    Failed(Failure),
}

impl Fault {
    /// Evidence that nothing was written to the upstream, if there is any.
    pub fn unwritten(&self) -> Option<Unwritten> {
        match self {
            Self::Failed(failure) => failure.unwritten,
            _ => None,
        }
    }

    /// Whether the attempt has ended at the upstream too, as far as this entry knows.
    pub fn is_over(&self) -> bool {
        matches!(self, Self::Failed(_))
    }
}
