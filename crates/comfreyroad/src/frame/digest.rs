use std::time::SystemTime;

use crate::id::{BootId, UpstreamId, VersionId};

/// A compact summary of the state of an upstream, for gossip.
#[derive(Clone, Debug, PartialEq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct Digest {
    /// The upstream.
    #[cfg_attr(feature = "serde", serde(rename = "u"))]
    pub upstream: UpstreamId,
    /// The current start of its program.
    #[cfg_attr(feature = "serde", serde(rename = "b"))]
    pub boot: BootId,
    /// Timestamp of the newest report, by the upstream's clock.
    #[cfg_attr(feature = "serde", serde(rename = "t", with = "super::millis"))]
    pub reported_at: SystemTime,
    /// When its program started, by the same clock.
    #[cfg_attr(feature = "serde", serde(rename = "o", with = "super::millis"))]
    pub started_at: SystemTime,
    /// Sequence number of the last cache event that emptied its caches.
    #[cfg_attr(feature = "serde", serde(rename = "c", default))]
    pub clear_seq: u64,
    /// Known good answers since it was cold; `u32::MAX` once it is warm.
    #[cfg_attr(feature = "serde", serde(rename = "g"))]
    pub good_answers: u32,
    /// Whether the sender considers it warm only because of its long uptime.
    #[cfg_attr(
        feature = "serde",
        serde(rename = "h", default, skip_serializing_if = "std::ops::Not::not")
    )]
    pub is_assumed_warm: bool,
    /// Running and queued requests.
    #[cfg_attr(feature = "serde", serde(rename = "l"))]
    pub load: u32,
    /// Requests that can run at once when warm.
    #[cfg_attr(feature = "serde", serde(rename = "n"))]
    pub slots: u32,
    /// The loaded versions.
    #[cfg_attr(feature = "serde", serde(rename = "v", default))]
    pub versions: Vec<VersionId>,
}
