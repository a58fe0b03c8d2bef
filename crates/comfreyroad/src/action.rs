//! Actions, the only output of an entry.

use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::frame::Frame;
use crate::id::{Address, AttemptId, AttemptTag, BatchId, CallId, Offset, UpstreamId, VersionId};
use crate::note::Note;
use crate::record::{Record, Stream};
use crate::refusal::Refusal;
use crate::request::Head;

/// An output of the entry, for the front end to carry out.
#[derive(Debug)]
pub enum Action {
    /// Send a request to an upstream; answers come back as [`Event::Attempt`](crate::Event::Attempt).
    Send(Box<Send>),
    /// Stop an attempt and cancel it at its upstream.
    Cancel {
        /// The attempt.
        attempt: AttemptId,
        /// The attempt's id at the upstream.
        tag: AttemptTag,
        /// The upstream's IP number and port.
        address: Address,
    },
    /// Start an answer to a caller.
    Begin {
        /// The call.
        call: CallId,
        /// HTTP status.
        status: u16,
        /// Content type of the body, for a plain service.
        content_type: Option<Arc<str>>,
        /// The session token to return.
        session: Option<Arc<str>>,
        /// The version that answers.
        version: Option<VersionId>,
    },
    /// Send a part of an answer to the caller.
    Deliver {
        /// The call.
        call: CallId,
        /// The part.
        bytes: Arc<[u8]>,
    },
    /// Complete an answer.
    Finish {
        /// The call.
        call: CallId,
        /// Tokens used.
        usage: crate::request::Usage,
    },
    /// Break off an answer, in a way that the caller cannot mistake for its end.
    Abort(CallId),
    /// Refuse a call.
    Refuse {
        /// The call.
        call: CallId,
        /// The refusal to send.
        refusal: Refusal,
    },
    /// Append records. The result is one of the events `Appended`, `AppendRefused` and `AppendUnclear`.
    Append {
        /// The append.
        batch: BatchId,
        /// The stream.
        stream: Stream,
        /// The records, in order.
        records: Vec<Rc<Record>>,
    },
    /// Continue reading a stream, with a long poll.
    Read {
        /// The stream.
        stream: Stream,
        /// The first offset to read.
        from: Offset,
        /// How long the log may wait for the next record.
        wait: Duration,
    },
    /// Request the VM list.
    ListVms,
    /// Poll an upstream for its load.
    AskLoad {
        /// The upstream.
        upstream: UpstreamId,
        /// Its IP number and port.
        address: Address,
    },
    /// Send a frame to a peer and receive one in reply.
    SendFrame {
        /// The peer's IP number and port.
        to: Address,
        /// The frame.
        frame: Box<Frame>,
    },
    /// Reply to a peer's frame.
    Reply {
        /// Identifies the exchange.
        exchange: u64,
        /// The frame.
        frame: Box<Frame>,
    },
    /// Send an answer to the rating service.
    Rate {
        /// The call.
        call: CallId,
        /// The version that answered.
        version: VersionId,
        /// The route.
        route: Arc<str>,
        /// The request.
        head: Rc<Head>,
        /// The body of the answer.
        answer: Arc<[u8]>,
    },
    /// Set the readiness that the load balancer sees.
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

/// An attempt of a request.
#[derive(Debug)]
pub struct Send {
    /// The attempt.
    pub attempt: AttemptId,
    /// The attempt's id at the upstream.
    pub tag: AttemptTag,
    /// The upstream.
    pub upstream: UpstreamId,
    /// Its IP number and port.
    pub address: Address,
    /// The requested version; `None` for a plain service.
    pub version: Option<VersionId>,
    /// Number of tokens that the caller already has, which the upstream leaves out.
    pub resume_from: u64,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Time by which the answer must be complete.
    pub deadline: Instant,
    /// The request.
    pub head: Rc<Head>,
}
