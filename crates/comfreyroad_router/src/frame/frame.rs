use std::time::Duration;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::{Peer, Progress, SessionPin};
use crate::id::Offset;
use crate::record::{Record, Topic};
use crate::rollout::Tally;

/// One message between two entries.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Frame {
    /// The sender.
    #[serde(rename = "from")]
    pub sender: Peer,
    /// Time since the store last answered the sender; none if it doesn't.
    #[serde(rename = "store_answered")]
    pub store_answer_age: Option<Duration>,
    /// Time for which registrations that are gone may come back, as the store was away from the sender a moment ago.
    #[serde(rename = "returns_for")]
    pub registration_grace: Duration,
    /// Whom the sender knows.
    pub peers: Vec<Peer>,
    /// The offsets that the sender lacks next, by topic.
    #[serde(rename = "next")]
    pub next_offsets: IndexMap<Topic, Offset>,
    /// Records that the receiver lacks, by topic.
    pub records: Vec<(Topic, Record)>,
    /// The offset up to which `records` is complete, by topic.
    #[serde(rename = "complete")]
    pub complete_up_to: IndexMap<Topic, Offset>,
    /// Rollouts under way.
    pub rollouts: Vec<Progress>,
    /// Sessions that keep their version in rollouts under way.
    #[serde(rename = "kept")]
    pub session_pins: Vec<SessionPin>,
    /// Counts of rollouts under way.
    pub tallies: Vec<Tally>,
}
