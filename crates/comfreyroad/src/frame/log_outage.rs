use std::time::Duration;

use crate::id::ZoneId;

/// A report that some entry of a zone has not received data of the log for a while, neither directly nor from peers.
#[derive(Clone, Debug, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct LogOutage {
    /// The zone.
    pub zone: ZoneId,
    /// Time since this was observed.
    pub age: Duration,
}
