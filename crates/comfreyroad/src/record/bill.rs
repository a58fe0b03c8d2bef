use super::Key;
use crate::id::VersionId;

/// The charge for one request.
#[derive(Clone, Debug, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct Bill {
    /// The request. Of several bills with the same key only the first on the log counts.
    pub key: Key,
    /// The version that answered; `None` for a plain service.
    pub version: Option<VersionId>,
    /// Tokens delivered.
    pub tokens: u64,
    /// Cost, in millionths of the venture's currency unit.
    pub cost: u64,
}
