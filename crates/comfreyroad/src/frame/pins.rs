use crate::id::VersionId;

/// Sessions, by the hashes of their ids, that keep one version.
#[derive(Clone, Debug, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct Pins {
    /// The version.
    pub version: VersionId,
    /// Hashes of customer, route and session id.
    pub sessions: Vec<u64>,
}
