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

/// Something that happened.
///
/// The first part comes from outside. The second is raised by one controller for the others, and handled in the same
/// turn of the loop.
#[derive(Debug)]
pub enum Event {
    /// The loop has started.
    Started,
    /// Time has passed.
    Tick,
    /// The operator of the VM asks the entry to end.
    Shutdown,
    /// A caller asks.
    Call(Box<Request<Received>>),
    /// A caller is gone.
    CallerGone(CallId),
    /// An upstream answers.
    Attempt {
        /// The attempt.
        attempt: AttemptId,
        /// The upstream that it went to.
        upstream: UpstreamId,
        /// What came.
        signal: Signal,
    },
    /// A page of the log.
    Read(Page),
    /// The log could not be read.
    ReadFailed(Stream),
    /// An append was taken.
    Appended {
        /// The append.
        batch: BatchId,
        /// Offset of its first record.
        first: Offset,
    },
    /// An append was certainly not taken.
    AppendRefused(BatchId),
    /// An append may or may not have been taken.
    AppendUnclear(BatchId),
    /// The VM list.
    Vms {
        /// When it was true.
        at: SystemTime,
        /// The VMs.
        vms: Vec<Vm>,
    },
    /// An upstream's load.
    Load {
        /// The upstream.
        upstream: UpstreamId,
        /// Its report; `None` when it did not answer.
        load: Option<Load>,
    },
    /// An upstream has emptied its caches, as its cache events say.
    CacheCleared {
        /// The upstream.
        upstream: UpstreamId,
        /// Number of the cache event.
        seq: u64,
    },
    /// A frame of a peer, sent of its own accord or as an answer.
    Peer(Box<Frame>),
    /// A peer did not answer.
    PeerFailed(Address),
    /// A peer waits for a frame in answer.
    PeerRequest {
        /// Which exchange to answer.
        exchange: u64,
        /// The peer's IP number and port.
        address: Address,
    },
    /// The rating service answered; `None` when it did not.
    Rated {
        /// The call whose answer was rated.
        call: CallId,
        /// Whether the answer is good.
        good: Option<bool>,
    },

    /// A record is to be appended.
    Write {
        /// The stream.
        stream: Stream,
        /// The record.
        record: Rc<Record>,
    },
    /// Records are on the log.
    Written {
        /// The stream.
        stream: Stream,
        /// The records.
        records: Vec<Rc<Record>>,
    },
    /// New rules are in force.
    InForce(Arc<InForce>),
    /// The set of live entries, or what they say of themselves, has changed.
    Members(Rc<crate::frame::View>),
    /// A peer is to get a frame.
    Gossip {
        /// The peer's IP number and port.
        to: Address,
    },
    /// A peer is to get a frame that speaks of the rules only.
    GossipRules {
        /// The peer's IP number and port.
        to: Address,
    },
    /// Whether the rules are fresh enough to take new work by them.
    RulesFresh(bool),
    /// A claim is wanted.
    ClaimWanted {
        /// The request.
        key: Key,
        /// The call that wants it.
        writer: Writer,
    },
    /// A claim's holder gives it back unused.
    ClaimReleased {
        /// The request.
        key: Key,
        /// The call that held it.
        writer: Writer,
    },
    /// The verdict on a claim is known.
    ClaimDecided(Key),
    /// An answer is whole and is to be billed.
    BillWanted {
        /// The call.
        call: CallId,
        /// The bill.
        bill: Bill,
    },
    /// A call's bill is on the log, or kept where it survives this entry.
    BillSafe(CallId),
    /// An answer was given to the rating service.
    RatingAsked {
        /// The call.
        call: CallId,
        /// What is rated.
        subject: Subject,
    },
    /// The ratings of a version on a route have changed.
    RatingsChanged {
        /// What was rated.
        subject: Subject,
        /// The ratings of all entries.
        sum: Cell,
    },
    /// A version is withheld.
    VersionHeld(VersionId),
    /// A request was sent to an upstream.
    RequestSent(UpstreamId),
    /// An attempt gave the first part of its answer.
    AnswerBegan {
        /// What it shared upstreams with.
        lane: LaneId,
        /// Time since it was sent.
        took: Duration,
    },
    /// An attempt gave its whole answer.
    Answered {
        /// What it shared upstreams with.
        lane: LaneId,
        /// Time since it was sent.
        took: Duration,
    },
    /// A request is sent again after a failure.
    Retried,
    /// A request is sent a second time because its first answer is late.
    Hedged,
    /// A session that its caller names itself has asked.
    SessionSeen {
        /// The session.
        session: SessionHash,
        /// Whose it is, and what was asked for.
        allowed: Box<Allowed>,
        /// The version that it got.
        version: VersionId,
    },
    /// A call waits for a slot.
    Queued(Ticket),
    /// A call waits for a slot no more.
    Unqueued {
        /// The call.
        call: CallId,
        /// Whether it got one.
        placed: bool,
    },
    /// A call is over.
    CallEnded(CallId),
    /// Something happened to a call that its caller may want explained.
    Explained {
        /// The call.
        call: CallId,
        /// What happened.
        step: Step,
    },
    /// Calls that are still open are to be cut.
    CutCalls,
    /// An upstream can be sent to, for the first time since the start.
    UpstreamUsable,
    /// A slot was given back, or more work can be taken for another reason.
    CapacityFreed,
    /// Whether the venture's term is over.
    TermOver(bool),
    /// The totals of the venture are to be written.
    ClosingDue,
    /// Calls and bills that are not finished.
    Unfinished(usize),
    /// The entry's phase changed.
    Phase(crate::controller::lifecycle::Phase),
}
