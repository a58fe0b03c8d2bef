use std::{cell::RefCell, future::poll_fn, rc::Rc};

use bytes::Bytes;

use super::channel::{Channel, State};

/// The body was dropped, so no more chunks are received.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the body was dropped by its receiver")]
pub struct Closed;

/// Sends chunks to a [`super::Body`].
///
/// Dropping a sender before [`Self::finish`] resets the connection, so that the peer never mistakes a truncated body
/// for a complete one.
#[derive(Debug)]
pub struct Sender {
    channel: Rc<RefCell<Channel>>,
}

impl Sender {
    pub(super) fn new(channel: Rc<RefCell<Channel>>) -> Self {
        Self { channel }
    }

    /// Sends a chunk, after waiting for room in the buffer.
    pub async fn send(&self, chunk: Bytes) -> Result<(), Closed> {
        poll_fn(|cx| self.channel.borrow_mut().poll_capacity(cx)).await;
        if self.is_closed() {
            return Err(Closed);
        }
        if !chunk.is_empty() {
            self.channel.borrow_mut().push(chunk);
        }
        Ok(())
    }

    /// Ends the body cleanly.
    pub fn finish(self) {
        self.channel.borrow_mut().finish(State::Finished);
    }

    /// Aborts the body and resets the connection. Dropping the sender does the same.
    pub fn abort(self) {
        drop(self);
    }

    /// Waits until the body is dropped.
    pub async fn closed(&self) {
        poll_fn(|cx| self.channel.borrow_mut().poll_closed(cx)).await;
    }

    /// Whether the body was dropped.
    pub fn is_closed(&self) -> bool {
        self.channel.borrow().is_closed()
    }
}

impl Drop for Sender {
    fn drop(&mut self) {
        // This has no effect after `finish`, since only the first final state is kept.
        self.channel.borrow_mut().finish(State::Aborted);
    }
}
