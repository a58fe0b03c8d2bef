//! What is to be done outside.

use std::time::Duration;

use comfreyroad::note::Note;

use crate::frame::Frame;
use crate::id::{Address, CallId, Offset};
use crate::record::{Content, Topic};

/// Something to be done.
#[derive(Debug)]
pub enum Action {
    /// Ask the store for the newest record of each key of a topic.
    List(Topic, CallId),
    /// Read a topic on.
    Read {
        /// The topic.
        topic: Topic,
        /// The call.
        call: CallId,
        /// The first offset wanted.
        from: Offset,
        /// How long the store may wait for a record.
        wait: Duration,
    },
    /// Write a record.
    Write {
        /// The topic.
        topic: Topic,
        /// The record's key; the topic says how it is spelled.
        content: Content,
        /// The offset at which the topic must end for the record to be taken; any where there is none.
        at: Option<Offset>,
    },
    /// Give up the kept connections to the store, which may have gone silent.
    Reconnect,
    /// Exchange frames with a peer.
    Gossip {
        /// The peer.
        to: Address,
        /// The frame.
        frame: Box<Frame>,
    },
    /// Write a log event.
    Note(Note),
    /// Stop taking connections, and end the process once the last request is answered.
    Close,
}

impl From<Note> for Action {
    fn from(note: Note) -> Self {
        Self::Note(note)
    }
}
