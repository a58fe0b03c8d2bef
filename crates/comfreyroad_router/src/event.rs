//! Events: everything that changes the state.

use std::rc::Rc;
use std::sync::Arc;

use crate::configuration::Configuration;
use crate::controller::members::Fleet;
use crate::frame::Frame;
use crate::id::{Address, CallId, PoolId, Position};
use crate::record::{Record, Topic};
use crate::rollout::Status;

/// An event for the controllers.
///
/// The first group comes from the host. The second group is raised by a controller for the others and handled in the same turn
/// of the loop.
#[derive(Clone, Debug)]
pub enum Event {
    /// The event loop has started.
    Started,
    /// The periodic timer of the event loop.
    Tick,
    /// The process was paused, so its state may be stale.
    ProcessPaused,
    /// The process was asked to shut down.
    Shutdown,
    /// Result of a listing: the newest record of each key of a topic.
    TopicListed {
        /// The topic.
        topic: Topic,
        /// Id of the call.
        call: CallId,
        /// The records.
        records: Vec<Record>,
        /// The next position to read.
        next: Position,
    },
    /// Result of a read: new records of a topic.
    TopicRead {
        /// The topic.
        topic: Topic,
        /// Id of the call.
        call: CallId,
        /// The records, in the order of their positions.
        records: Vec<Record>,
        /// The next position to read.
        next: Position,
    },
    /// The store does not have the requested position: its records have expired, or the store was restored from a copy since.
    RecordsExpired(Topic, CallId),
    /// A listing or a read failed.
    StoreFailed(Topic, CallId),
    /// A conditional write failed, because the topic has newer records.
    WriteConflict(Topic),
    /// A write failed; the record may or may not have been written.
    WriteFailed(Topic),
    /// A gossip frame has arrived from a peer.
    FrameReceived(Rc<Frame>),
    /// A gossip exchange with a peer failed.
    PeerFailed(Address),

    /// A new record became known, from the store or from a peer.
    RecordLearned(Topic, Rc<Record>),
    /// A new configuration is in force.
    ConfigurationApplied(Arc<Configuration>),
    /// The set of entries has changed.
    FleetChanged(Rc<Fleet>),
    /// A gossip exchange with a peer is due.
    GossipDue {
        /// Address of the peer.
        to: Address,
    },
    /// The store has stopped answering this entry.
    StoreLost,
    /// The store answers this entry again.
    StoreRecovered,
    /// The store was restored from a copy, and has lost its newest records. What operators and upstreams have written since is
    /// written again.
    StoreRestored,
    /// A rollout of a pool was ordered.
    RolloutOrdered(PoolId),
    /// Something became known that the other entries need before the next regular gossip round.
    GossipUrgent,
    /// The status of a rollout has to be written.
    StatusDue(Status),
}
