use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::PoolUsage;
use crate::id::ZoneId;

/// What customers use through the entries of a zone, summed by one of its relays.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneUsage {
    /// The zone.
    pub zone: ZoneId,
    /// Number of entries whose usage is part of the sum.
    pub entries: u32,
    /// Time since the sum was made. It is sent as an age, because the clocks of entries differ.
    pub age: Duration,
    /// What they use of each pool.
    pub pools: Vec<PoolUsage>,
}
