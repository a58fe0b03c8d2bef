use std::time::Duration;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::{Kept, Peer, Progress};
use crate::id::Offset;
use crate::record::{Record, Topic};
use crate::rollout::Tally;

/// One message between two entries.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Frame {
    /// The sender.
    pub from: Peer,
    /// Time since the store last answered the sender; none if it doesn't.
    pub store_answered: Option<Duration>,
    /// Time for which registrations that are gone may come back, as the store was away from the sender a moment ago.
    pub returns_for: Duration,
    /// Whom the sender knows.
    pub peers: Vec<Peer>,
    /// The offsets that the sender lacks next, by topic.
    pub next: IndexMap<Topic, Offset>,
    /// Records that the receiver lacks, by topic.
    pub records: Vec<(Topic, Record)>,
    /// The offset up to which `records` is complete, by topic.
    pub complete: IndexMap<Topic, Offset>,
    /// Rollouts under way.
    pub rollouts: Vec<Progress>,
    /// Sessions that keep their version in rollouts under way.
    pub kept: Vec<Kept>,
    /// Counts of rollouts under way.
    pub tallies: Vec<Tally>,
}
