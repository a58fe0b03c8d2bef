use std::sync::Arc;

use super::Unwritten;
use crate::id::{AttemptTag, BootId};
use crate::request::Usage;

/// An event of an attempt, received from its upstream.
#[derive(Clone, Debug)]
pub enum Signal {
    /// The upstream has begun to answer.
    Head {
        /// HTTP status.
        status: u16,
        /// Content type of the body.
        content_type: Option<Arc<str>>,
        /// The attempt to which the answer says it belongs.
        tag: Option<AttemptTag>,
        /// The current start of the upstream's program.
        boot: Option<BootId>,
    },
    /// A part of the answer.
    Part {
        /// The attempt to which the part says it belongs.
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
        /// Tokens used.
        usage: Usage,
    },
    /// The attempt is over without a complete answer.
    Failed(Failure),
}

/// How an attempt failed.
#[derive(Clone, Debug)]
pub struct Failure {
    /// Proof that nothing was sent to the upstream, if there is one.
    pub unwritten: Option<Unwritten>,
    /// Whether the upstream reported that it is full.
    pub is_busy: bool,
    /// The step and the peer at which it failed, in readable form.
    pub reason: Arc<str>,
}
