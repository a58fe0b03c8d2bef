use super::Key;
use crate::id::VersionId;

/// What one request costs its customer.
#[derive(Clone, Debug, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct Bill {
    /// The request; of several bills with one key the first on the log counts.
    pub key: Key,
    /// The version that answered; `None` for a plain service.
    pub version: Option<VersionId>,
    /// Tokens delivered.
    pub tokens: u64,
    /// Cost, in millionths of the venture's currency.
    pub cost: u64,
}
