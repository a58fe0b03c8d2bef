use crate::event::{Failure, Unwritten};

/// Why an attempt cannot give a whole answer any more.
#[derive(Clone, Debug, thiserror::Error)]
pub enum Fault {
    /// The attempt was given up before.
    #[error("attempt was given up")]
    Late,
    /// The answer names another attempt.
    #[error("answer names another attempt")]
    Crossed,
    /// The upstream did not take the request up.
    #[error("status {0}")]
    Status(u16),
    /// A part is missing, or overlaps what the caller has.
    #[error("part at {offset}, expected {delivered}")]
    Gap {
        /// Where the part starts.
        offset: u64,
        /// Where the next part should start.
        delivered: u64,
    },
    /// The upstream counted another number of tokens.
    #[error("{counted} tokens counted, {delivered} delivered")]
    Count {
        /// Tokens by the upstream's count.
        counted: u64,
        /// Tokens that came.
        delivered: u64,
    },
    /// The upstream or the way to it failed.
    #[error("{}", .0.reason)]
    Failed(Failure),
}

impl Fault {
    /// Evidence that nothing was written, where there is any.
    pub fn unwritten(&self) -> Option<Unwritten> {
        match self {
            Self::Failed(failure) => failure.unwritten,
            _ => None,
        }
    }

    /// Whether the attempt is over at the upstream too, as far as this entry can tell.
    pub fn is_over(&self) -> bool {
        matches!(self, Self::Failed(_))
    }
}
