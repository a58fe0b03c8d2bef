use std::sync::Arc;

use super::Unwritten;
use crate::id::{AttemptTag, BootId};
use crate::request::Usage;

/// What comes back of an attempt.
#[derive(Clone, Debug)]
pub enum Signal {
    /// The upstream has begun to answer.
    Head {
        /// HTTP status.
        status: u16,
        /// Type of the body.
        content_type: Option<Arc<str>>,
        /// The attempt that the answer names.
        tag: Option<AttemptTag>,
        /// The start of the upstream's program.
        boot: Option<BootId>,
    },
    /// A part of the answer.
    Part {
        /// The attempt that the part names.
        tag: Option<AttemptTag>,
        /// Tokens before this part; bytes for a plain service.
        offset: u64,
        /// Tokens in this part; bytes for a plain service.
        length: u64,
        /// The part itself.
        bytes: Arc<[u8]>,
    },
    /// The answer is complete.
    End {
        /// What it took.
        usage: Usage,
    },
    /// The attempt is over without a complete answer.
    Failed(Failure),
}

/// How an attempt failed.
#[derive(Clone, Debug)]
pub struct Failure {
    /// Evidence that nothing was written, where there is any.
    pub unwritten: Option<Unwritten>,
    /// Whether the upstream itself said that it takes no more for now.
    pub busy: bool,
    /// The step and the peer at which it failed, for people.
    pub reason: Arc<str>,
}
