//! What changes the state.

use std::rc::Rc;
use std::sync::Arc;

use crate::configuration::Configuration;
use crate::controller::members::Fleet;
use crate::frame::Frame;
use crate::id::{Address, CallId, Offset, PoolId};
use crate::record::{Record, Topic};
use crate::rollout::Status;

/// Something that happened.
///
/// The first part comes from outside. The second is raised by one controller for the others, and handled in the same
/// turn.
#[derive(Clone, Debug)]
pub enum Event {
    /// The loop has started.
    Started,
    /// Time has passed.
    Tick,
    /// The process stood still, and what it believed is old.
    ProcessPaused,
    /// The operator of the VM asks the process to end.
    Shutdown,
    /// The newest record of each key of a topic, and the offset from which to read on.
    TopicListed {
        /// The topic.
        topic: Topic,
        /// The call that was answered.
        call: CallId,
        /// The records.
        records: Vec<Record>,
        /// Where to read on.
        next: Offset,
    },
    /// New records of a topic.
    TopicRead {
        /// The topic.
        topic: Topic,
        /// The call that was answered.
        call: CallId,
        /// The records, in order.
        records: Vec<Record>,
        /// Where to read on.
        next: Offset,
    },
    /// The records that were to be read are gone from the store.
    RecordsExpired(Topic, CallId),
    /// The store gave no answer to a listing or a read, or refused.
    StoreFailed(Topic, CallId),
    /// A record was not written, as the topic has moved on.
    WriteConflict(Topic),
    /// A record may or may not have been written.
    WriteFailed(Topic),
    /// A frame of a peer.
    FrameReceived(Rc<Frame>),
    /// A peer did not answer.
    PeerFailed(Address),

    /// A record that was not known before.
    RecordLearned(Topic, Rc<Record>),
    /// A configuration is in force.
    ConfigurationApplied(Arc<Configuration>),
    /// The fleet has changed.
    FleetChanged(Rc<Fleet>),
    /// A peer is to get a frame.
    GossipDue {
        /// The peer.
        to: Address,
    },
    /// The store does not answer this entry.
    StoreLost,
    /// The store answers again, after a time in which it did not.
    StoreRecovered,
    /// A rollout of a pool was ordered.
    RolloutOrdered(PoolId),
    /// A rollout's status is to be written.
    WriteStatus(Status),
}
