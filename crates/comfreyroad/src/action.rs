//! What is to be done: the only way out of the decisions.

use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::frame::Frame;
use crate::id::{Address, AttemptId, AttemptTag, BatchId, CallId, Offset, UpstreamId, VersionId};
use crate::note::Note;
use crate::record::{Record, Stream};
use crate::refusal::Refusal;
use crate::request::Head;

/// Something to be done outside.
#[derive(Debug)]
pub enum Action {
    /// Send a request to an upstream; answers come back as [`Event::Attempt`](crate::Event::Attempt).
    Send(Box<Send>),
    /// Stop an attempt and tell its upstream.
    Cancel {
        /// The attempt.
        attempt: AttemptId,
        /// Its name towards the upstream.
        tag: AttemptTag,
        /// The upstream's IP number and port.
        address: Address,
    },
    /// Begin an answer to a caller.
    Begin {
        /// The call.
        call: CallId,
        /// HTTP status.
        status: u16,
        /// Type of the body, for a plain service.
        content_type: Option<Arc<str>>,
        /// The session token to hand back.
        session: Option<Arc<str>>,
        /// The version that answers.
        version: Option<VersionId>,
    },
    /// Pass on a part of an answer.
    Deliver {
        /// The call.
        call: CallId,
        /// The part.
        bytes: Arc<[u8]>,
    },
    /// End an answer that is whole.
    Finish {
        /// The call.
        call: CallId,
        /// What it took.
        usage: crate::request::Usage,
    },
    /// Break an answer off, so that it cannot be taken for whole.
    Abort(CallId),
    /// Refuse a call.
    Refuse {
        /// The call.
        call: CallId,
        /// Why.
        refusal: Refusal,
    },
    /// Append records; the answer is one of `Appended`, `AppendRefused` and `AppendUnclear`.
    Append {
        /// The append.
        batch: BatchId,
        /// The stream.
        stream: Stream,
        /// The records, in order.
        records: Vec<Rc<Record>>,
    },
    /// Read a stream on, waiting for records up to a time.
    Read {
        /// The stream.
        stream: Stream,
        /// The first offset wanted.
        from: Offset,
        /// How long the log may wait for a record.
        wait: Duration,
    },
    /// Ask for the VM list.
    ListVms,
    /// Ask an upstream for its load.
    AskLoad {
        /// The upstream.
        upstream: UpstreamId,
        /// Its IP number and port.
        address: Address,
    },
    /// Exchange frames with a peer.
    SendFrame {
        /// The peer's IP number and port.
        to: Address,
        /// The frame.
        frame: Box<Frame>,
    },
    /// Answer a peer's frame.
    Reply {
        /// Which exchange.
        exchange: u64,
        /// The frame.
        frame: Box<Frame>,
    },
    /// Have an answer rated.
    Rate {
        /// The call.
        call: CallId,
        /// The version that answered.
        version: VersionId,
        /// The route.
        route: Arc<str>,
        /// What was asked.
        head: Rc<Head>,
        /// What was answered.
        answer: Arc<[u8]>,
    },
    /// Tell the balancer whether to send work.
    Ready(bool),
    /// Write a log event.
    Note(Note),
    /// End the process.
    Exit,
}

impl From<Note> for Action {
    fn from(note: Note) -> Self {
        Self::Note(note)
    }
}

/// One sending of a request.
#[derive(Debug)]
pub struct Send {
    /// The sending.
    pub attempt: AttemptId,
    /// Its name towards the upstream.
    pub tag: AttemptTag,
    /// The upstream.
    pub upstream: UpstreamId,
    /// Its IP number and port.
    pub address: Address,
    /// The version to answer; `None` for a plain service.
    pub version: Option<VersionId>,
    /// Tokens to leave out at the start.
    pub resume_from: u64,
    /// 0 for the most urgent.
    pub priority: u8,
    /// When the whole answer is due.
    pub deadline: Instant,
    /// The request.
    pub head: Rc<Head>,
}
