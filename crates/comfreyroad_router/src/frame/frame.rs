use std::time::Duration;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::{
    CrashReport, LeavingReport, LoadReport, PartAnswer, Peer, PoolUsage, Progress, RateLimitReport,
    SessionPin, Suspicion, ZoneUsage,
};
use crate::id::Position;
use crate::record::{Record, Topic};
use crate::rollout::Tally;

/// One gossip message between two entries.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Frame {
    /// The entry that sends the frame.
    #[serde(rename = "from")]
    pub sender: Peer,
    /// Time since the store last answered the sender; `None` while the store does not answer it.
    #[serde(rename = "store_answered")]
    pub store_answer_age: Option<Duration>,
    /// Remaining time for which upstreams with a missing registration are kept, because the sender has seen a store outage
    /// and registrations may reappear after it.
    #[serde(rename = "returns_for")]
    pub registration_grace: Duration,
    /// The live entries that the sender knows.
    pub peers: Vec<Peer>,
    /// For each topic, the first position that the sender has not read. The name tells the frame from those of versions that rank
    /// records by their offsets alone, which must not take these positions for offsets.
    #[serde(rename = "positions")]
    pub next_offsets: IndexMap<Topic, Position>,
    /// Records that the receiver has not read, with their topics.
    pub records: Vec<(Topic, Record)>,
    /// For each topic, the position before which the receiver has every record once it has applied `records`.
    #[serde(rename = "complete")]
    pub complete_up_to: IndexMap<Topic, Position>,
    /// For each of these topics, the position from which `records` hold every change. A receiver that knows less cannot apply
    /// `complete_up_to`. Absent in frames of versions that leave it open.
    #[serde(rename = "complete_since", default)]
    pub complete_from: IndexMap<Topic, Position>,
    /// Progress of active rollouts.
    pub rollouts: Vec<Progress>,
    /// Sessions pinned to a version in active rollouts.
    #[serde(rename = "kept")]
    pub session_pins: Vec<SessionPin>,
    /// Answer counts of active rollouts.
    pub tallies: Vec<Tally>,
    /// Load of upstreams. Absent in frames of versions that do not exchange it.
    #[serde(default)]
    pub loads: Vec<LoadReport>,
    /// Upstreams that have failed recently. Absent in frames of versions that do not exchange them.
    #[serde(default)]
    pub suspicions: Vec<Suspicion>,
    /// Statements of upstreams about their rate limits. Absent in frames of versions that do not exchange them.
    #[serde(default)]
    pub rate_limits: Vec<RateLimitReport>,
    /// Upstreams that have stated that they are about to leave. Absent as above.
    #[serde(default)]
    pub leaving: Vec<LeavingReport>,
    /// Requests whose upstream may have crashed by them. Absent in frames of versions that do not exchange them.
    #[serde(default)]
    pub crashes: Vec<CrashReport>,
    /// How far upstreams have got with answers to the parts of these prompts. Absent as above.
    #[serde(default)]
    pub answered_parts: Vec<PartAnswer>,
    /// What customers use through the sender. Absent in frames of versions that do not exchange it.
    #[serde(default)]
    pub usage: Vec<PoolUsage>,
    /// What customers use through the zones, in frames of relays. Absent as above.
    #[serde(default)]
    pub zone_usage: Vec<ZoneUsage>,
}

impl Frame {
    /// The position before which a receiver that knew everything before `known` knows every record of a topic, once it has applied
    /// the frame's records. `None` if records between the two may be missing.
    pub fn known_up_to(&self, topic: Topic, known: Position) -> Option<Position> {
        let from = self.complete_from.get(&topic).copied().unwrap_or(0);
        let next = self.complete_up_to.get(&topic).copied();
        next.filter(|_| from <= known)
    }
}
