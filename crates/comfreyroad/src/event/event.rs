use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use super::{Page, Signal};
use crate::controller::queue::Ticket;
use crate::controller::trace::Step;
use crate::frame::Frame;
use crate::id::{
    Address, AttemptId, BatchId, CallId, LaneId, Offset, SessionHash, UpstreamId, VersionId,
};
use crate::quality::{Cell, Subject};
use crate::record::{Bill, Key, Record, Stream, Writer};
use crate::request::{Allowed, Received, Request};
use crate::rules::InForce;
use crate::upstream::{Load, Vm};

/// An input of the entry.
///
/// The variants of the first group come from outside. Those of the second group are raised by one controller for the
/// others and handled in the same iteration of the loop.
#[derive(Debug)]
pub enum Event {
    /// The event loop has started.
    Started,
    /// The periodic timer has fired.
    Tick,
    /// A shutdown was requested.
    Shutdown,
    /// A caller sent a request.
    Call(Box<Request<Received>>),
    /// A caller has disconnected.
    CallerGone(CallId),
    /// An upstream responded to an attempt, or the attempt failed.
    Attempt {
        /// The attempt.
        attempt: AttemptId,
        /// The upstream to which it was sent.
        upstream: UpstreamId,
        /// The response or failure.
        signal: Signal,
    },
    /// A page of the log.
    Read(Page),
    /// The log could not be read.
    ReadFailed(Stream),
    /// An append was accepted.
    Appended {
        /// The append.
        batch: BatchId,
        /// Offset of its first record.
        first: Offset,
    },
    /// An append was rejected.
    AppendRefused(BatchId),
    /// It is not known whether an append was accepted.
    AppendUnclear(BatchId),
    /// The VM list was received.
    Vms {
        /// The time that it describes.
        at: SystemTime,
        /// The VMs.
        vms: Vec<Vm>,
    },
    /// A load report of an upstream, or a failure to get one.
    Load {
        /// The upstream.
        upstream: UpstreamId,
        /// The report; `None` if the upstream did not answer.
        load: Option<Load>,
    },
    /// A cache event says that an upstream has emptied its caches.
    CacheCleared {
        /// The upstream.
        upstream: UpstreamId,
        /// Sequence number of the cache event.
        seq: u64,
    },
    /// A frame of a peer, unsolicited or in reply.
    Peer(Box<Frame>),
    /// A peer did not answer.
    PeerFailed(Address),
    /// A peer waits for a frame in reply.
    PeerRequest {
        /// Identifies the exchange.
        exchange: u64,
        /// The peer's IP number and port.
        address: Address,
    },
    /// The rating service answered, or failed to.
    Rated {
        /// The call whose answer was rated.
        call: CallId,
        /// Whether the answer is good; `None` if the service did not answer.
        good: Option<bool>,
    },

    /// Requests that a record is appended to the log.
    Write {
        /// The stream.
        stream: Stream,
        /// The record.
        record: Rc<Record>,
    },
    /// Records of this entry were appended to the log.
    Written {
        /// The stream.
        stream: Stream,
        /// The records.
        records: Vec<Rc<Record>>,
    },
    /// New rules are in force.
    InForce(Arc<InForce>),
    /// The membership view has changed.
    Members(Rc<crate::frame::View>),
    /// Requests that a frame is sent to a peer.
    Gossip {
        /// The peer's IP number and port.
        to: Address,
    },
    /// Requests that a frame with only rules and bills is sent to a peer.
    GossipRules {
        /// The peer's IP number and port.
        to: Address,
    },
    /// Whether the rules are fresh enough to accept new work.
    RulesFresh(bool),
    /// Requests a claim.
    ClaimWanted {
        /// The request.
        key: Key,
        /// The call that requests it.
        writer: Writer,
    },
    /// Releases a claim that was not used.
    ClaimReleased {
        /// The request.
        key: Key,
        /// The call that held it.
        writer: Writer,
    },
    /// It is decided whether a claim was won.
    ClaimDecided(Key),
    /// Requests a bill for a complete answer.
    BillWanted {
        /// The call.
        call: CallId,
        /// The bill.
        bill: Bill,
    },
    /// The bill of a call is on the log, or stored by a peer so that it survives a crash of this entry.
    BillSafe(CallId),
    /// An answer was sent to the rating service.
    RatingAsked {
        /// The call.
        call: CallId,
        /// The version and route that are rated.
        subject: Subject,
    },
    /// The ratings of a version on a route have changed.
    RatingsChanged {
        /// The version and route that were rated.
        subject: Subject,
        /// The sum of the ratings of all entries.
        sum: Cell,
    },
    /// A version was put on hold.
    VersionHeld(VersionId),
    /// A request was sent to an upstream.
    RequestSent(UpstreamId),
    /// The first part of an answer arrived.
    AnswerBegan {
        /// The lane of the request.
        lane: LaneId,
        /// Time since the attempt was sent.
        took: Duration,
    },
    /// The end of an answer arrived.
    Answered {
        /// The lane of the request.
        lane: LaneId,
        /// Time since the attempt was sent.
        took: Duration,
    },
    /// A request is sent again after a failure.
    Retried,
    /// A request is sent a second time because the answer to the first attempt is late.
    Hedged,
    /// A request of a session with an id chosen by its caller was assigned a version.
    SessionSeen {
        /// The session.
        session: SessionHash,
        /// The customer, the route and the versions that may answer.
        allowed: Box<Allowed>,
        /// The assigned version.
        version: VersionId,
    },
    /// A call was queued for a slot.
    Queued(Ticket),
    /// A call left the queue.
    Unqueued {
        /// The call.
        call: CallId,
        /// Whether it got a slot.
        placed: bool,
    },
    /// A call has ended.
    CallEnded(CallId),
    /// Adds a step to the trace of a call.
    Explained {
        /// The call.
        call: CallId,
        /// What happened.
        step: Step,
    },
    /// Requests that all open calls are cut.
    CutCalls,
    /// The first upstream since the start has become usable.
    UpstreamUsable,
    /// A slot was released, or more work can be accepted for another reason.
    CapacityFreed,
    /// Whether the term of the venture has ended.
    TermOver(bool),
    /// Requests that the final totals of the venture are written.
    ClosingDue,
    /// Number of calls and bills that are not finished.
    Unfinished(usize),
    /// The entry's phase changed.
    Phase(crate::controller::lifecycle::Phase),
}
