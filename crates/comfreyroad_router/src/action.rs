//! Actions: side effects that the router asks its host to perform.

use std::time::Duration;

use comfreyroad::note::Note;

use crate::frame::Frame;
use crate::id::{Address, CallId, Position};
use crate::record::{Content, Topic};

/// A side effect for the host to perform.
#[derive(Debug)]
pub enum Action {
    /// List a topic: get the newest record of each key from the store.
    List(Topic, CallId),
    /// Read the records of a topic from a position on.
    Read {
        /// The topic.
        topic: Topic,
        /// Id of the call, to be returned with its result.
        call: CallId,
        /// The first position to read.
        from: Position,
        /// Long poll: how long the store may wait for a new record.
        wait: Duration,
    },
    /// Write a record.
    Write {
        /// The topic.
        topic: Topic,
        /// The content of the record. The key follows from the topic and the content.
        content: Content,
        /// Compare-and-append: the record is written only if the topic ends at this position. `None` writes unconditionally.
        expected_end: Option<Position>,
    },
    /// Drop the pooled connections to the store, which may no longer respond.
    Reconnect,
    /// Send a frame to a peer and handle the frame that it answers with.
    Gossip {
        /// Address of the peer.
        to: Address,
        /// The frame.
        frame: Box<Frame>,
    },
    /// Write a log event.
    Note(Note),
    /// Stop accepting connections, and exit once the last request is answered.
    Close,
}

impl From<Note> for Action {
    fn from(note: Note) -> Self {
        Self::Note(note)
    }
}
