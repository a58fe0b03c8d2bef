use std::time::Duration;

use crate::id::ZoneId;

/// Word of a zone in which some entry has not heard of the log for a while, neither itself nor by peers.
#[derive(Clone, Debug, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct LogOutage {
    /// The zone.
    pub zone: ZoneId,
    /// Age of the moment at which that held.
    pub age: Duration,
}
