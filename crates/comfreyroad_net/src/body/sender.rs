use std::{cell::RefCell, future::poll_fn, rc::Rc};

use bytes::Bytes;

use super::channel::{Channel, State};

/// Nobody takes the body's chunks any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the body's receiver is gone")]
pub struct Closed;

/// Feeds a [`super::Body`] with chunks.
///
/// A sender dropped before [`Self::finish`] breaks the connection, so that the peer never takes a part for the whole.
#[derive(Debug)]
pub struct Sender {
    channel: Rc<RefCell<Channel>>,
}

impl Sender {
    pub(super) fn new(channel: Rc<RefCell<Channel>>) -> Self {
        Self { channel }
    }

    /// Hands over a chunk, after waiting for room.
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

    /// Breaks the body off. Dropping the sender does the same.
    pub fn abort(self) {
        drop(self);
    }

    /// Waits until nobody takes the body's chunks any more.
    pub async fn closed(&self) {
        poll_fn(|cx| self.channel.borrow_mut().poll_closed(cx)).await;
    }

    /// Whether nobody takes the body's chunks any more.
    pub fn is_closed(&self) -> bool {
        self.channel.borrow().is_closed()
    }
}

impl Drop for Sender {
    fn drop(&mut self) {
        // After `finish` this changes nothing: the first end counts.
        self.channel.borrow_mut().finish(State::Aborted);
    }
}
