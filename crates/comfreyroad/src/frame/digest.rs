use std::time::SystemTime;

use crate::id::{BootId, UpstreamId, VersionId};

/// What an entry knows of an upstream, short enough to be passed on.
#[derive(Clone, Debug, PartialEq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct Digest {
    /// The upstream.
    #[cfg_attr(feature = "serde", serde(rename = "u"))]
    pub upstream: UpstreamId,
    /// The start of its program.
    #[cfg_attr(feature = "serde", serde(rename = "b"))]
    pub boot: BootId,
    /// When the newest report was true, by the upstream's clock.
    #[cfg_attr(feature = "serde", serde(rename = "t", with = "super::millis"))]
    pub at: SystemTime,
    /// When its program started, by the same clock.
    #[cfg_attr(feature = "serde", serde(rename = "o", with = "super::millis"))]
    pub started_at: SystemTime,
    /// How often its caches were emptied since.
    #[cfg_attr(feature = "serde", serde(rename = "c", default))]
    pub clear_seq: u64,
    /// Good answers that it is known to have given since; `u32::MAX` once it is warm.
    #[cfg_attr(feature = "serde", serde(rename = "g"))]
    pub good: u32,
    /// Whether the sender takes it for warm for its long uptime alone.
    #[cfg_attr(
        feature = "serde",
        serde(rename = "h", default, skip_serializing_if = "std::ops::Not::not")
    )]
    pub is_assumed_warm: bool,
    /// Requests that run or wait in it.
    #[cfg_attr(feature = "serde", serde(rename = "l"))]
    pub load: u32,
    /// Requests that can run at once when warm.
    #[cfg_attr(feature = "serde", serde(rename = "n"))]
    pub slots: u32,
    /// Versions loaded.
    #[cfg_attr(feature = "serde", serde(rename = "v", default))]
    pub versions: Vec<VersionId>,
}
