use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::id::{Incarnation, UpstreamId};

/// One entry tells the others of a long prompt that it has sent, so that none of theirs waits behind it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hint {
    /// The upstream.
    pub upstream: UpstreamId,
    /// The start of its program.
    pub incarnation: Incarnation,
    /// Time that the prompt is expected to take to read.
    pub takes: Duration,
}
