use comfreyroad::quality::Score;
use serde::{Deserialize, Serialize};

use crate::id::{EntryId, Incarnation, Offset, PoolId, RouteId};

/// Answers on one route.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteScore {
    /// The route.
    pub route: RouteId,
    /// Answers of the new version.
    pub target: Score,
    /// Answers of the other versions.
    pub others: Score,
}

/// What one start of one entry has counted during a rollout.
///
/// Counts only grow, and only their origin writes them, so of two tallies the one with more answers is the newer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tally {
    /// The pool.
    pub pool: PoolId,
    /// Place of the order.
    #[serde(rename = "order")]
    pub order_offset: Offset,
    /// Who counted.
    pub entry: EntryId,
    /// Which start of it.
    pub incarnation: Incarnation,
    /// Requests that were sent to the new version.
    pub target_sent: u32,
    /// Requests that were sent to the other versions.
    pub others_sent: u32,
    /// Answers by route, as routes differ in how often any version fails.
    pub routes: Vec<RouteScore>,
    /// Answers of the new version that were fast enough beside the others.
    #[serde(rename = "target_paces")]
    pub target_speed: Score,
    /// Answers of the other versions that were fast enough beside their own median.
    #[serde(rename = "others_paces")]
    pub others_speed: Score,
    /// Number of the newest change, by which an old copy is told from a new one.
    pub revision: u64,
}
