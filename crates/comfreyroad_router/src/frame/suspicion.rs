use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::id::{Incarnation, UpstreamId};

/// An upstream that has failed to answer some entry, and has answered none since as far as the sender knows.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspicion {
    /// The upstream.
    pub upstream: UpstreamId,
    /// The incarnation of the upstream.
    pub incarnation: Incarnation,
    /// Time since the failure. It is sent as an age, because the clocks of entries differ.
    pub age: Duration,
}
