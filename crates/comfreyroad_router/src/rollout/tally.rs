use comfreyroad::quality::Score;
use serde::{Deserialize, Serialize};

use super::Histogram;
use crate::id::{EntryId, Incarnation, PoolId, Position, RouteId};

/// Answer counts of one route.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteScore {
    /// The route.
    pub route: RouteId,
    /// Answers of the new version.
    pub target: Score,
    /// Answers of the other versions.
    pub others: Score,
    /// Requests to the new version since the cutover, and those of them that have not failed. Absent in frames of versions that do
    /// not count them.
    #[serde(default)]
    pub after_cutover: Score,
}

/// What one incarnation of one entry has counted during a rollout.
///
/// Only the entry that counts changes them, so copies can be merged by keeping the one with the higher revision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tally {
    /// The pool that is rolled out.
    pub pool: PoolId,
    /// Position of the rollout's order.
    #[serde(rename = "order")]
    pub order_offset: Position,
    /// The entry that counted.
    pub entry: EntryId,
    /// The incarnation of that entry.
    pub incarnation: Incarnation,
    /// Requests sent to the new version.
    pub target_sent: u32,
    /// Requests sent to the other versions.
    pub others_sent: u32,
    /// Answers by route, because failure rates differ between routes.
    pub routes: Vec<RouteScore>,
    /// Always empty; entries of earlier versions, which compared speeds by it, require the field.
    #[serde(rename = "target_paces")]
    pub target_speed: Score,
    /// Always empty, as above.
    #[serde(rename = "others_paces")]
    pub others_speed: Score,
    /// Service times of the new version. Absent in frames of versions that only compare them with the median.
    #[serde(default)]
    pub target_times: Histogram,
    /// Service times of the other versions. Absent as above.
    #[serde(default)]
    pub others_times: Histogram,
    /// Service times of the new version since the cutover. Absent as above.
    #[serde(default)]
    pub times_after_cutover: Histogram,
    /// Number of changes so far, which tells a new copy from an old one.
    pub revision: u64,
}
