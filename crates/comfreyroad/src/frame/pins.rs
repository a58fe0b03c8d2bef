use crate::id::VersionId;

/// Sessions that are pinned to one version.
#[derive(Clone, Debug, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct Pins {
    /// The version.
    pub version: VersionId,
    /// The sessions, each identified by a hash of customer, route and session id.
    pub sessions: Vec<u64>,
}
