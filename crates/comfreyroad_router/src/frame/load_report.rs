use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::id::{Incarnation, UpstreamId};
use crate::upstream::Load;

/// The load that an upstream has reported to some entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// The upstream.
    #[serde(deserialize_with = "super::text::deserialize")]
    pub upstream: UpstreamId,
    /// The incarnation of the upstream.
    pub incarnation: Incarnation,
    /// Requests being processed.
    pub running: u32,
    /// Requests queued at the upstream.
    pub waiting: u32,
    /// Requests that the upstream can process concurrently.
    pub slots: u32,
    /// Time that work takes there, in percent of the usual. Absent in reports of versions that do not know it.
    #[serde(
        rename = "w",
        default = "usual_work_time",
        skip_serializing_if = "is_usual"
    )]
    pub work_time_percent: u32,
    /// The last sample of the time that its answers take in relation to its pool: in percent, and its age in milliseconds.
    #[serde(rename = "p", default, skip_serializing_if = "Option::is_none")]
    pub pace: Option<(u32, u32)>,
    /// Time since the upstream reported it. It is sent as an age, because the clocks of entries differ.
    pub age: Duration,
}

fn is_usual(percent: &u32) -> bool {
    *percent == Load::USUAL_WORK_TIME
}

fn usual_work_time() -> u32 {
    Load::USUAL_WORK_TIME
}
