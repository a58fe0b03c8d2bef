use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::id::{Incarnation, UpstreamId};

/// That an upstream has stated to some entry that it is about to leave.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeavingReport {
    /// The upstream.
    pub upstream: UpstreamId,
    /// The incarnation of the upstream.
    pub incarnation: Incarnation,
    /// Time since the statement. It is sent as an age, because the clocks of entries differ.
    pub age: Duration,
}
