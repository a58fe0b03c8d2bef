use std::{
    collections::VecDeque,
    task::{Context, Poll, Waker},
};

use bytes::Bytes;

use crate::stream::Handle;

/// Maximum number of buffered chunks; a sender waits when the buffer is full.
const MAX_CHUNKS: usize = 8;

/// The sender aborted the body before its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the sender aborted the body")]
pub struct Aborted;

/// State of a body.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum State {
    /// More chunks may come.
    #[default]
    Open,
    /// The sender has sent all chunks; some may still be buffered.
    Finished,
    /// The sender stopped before the end.
    Aborted,
}

/// State shared by a body and its sender.
#[derive(Debug, Default)]
pub(super) struct Channel {
    chunks: VecDeque<Bytes>,
    state: State,
    closed: bool,
    connection: Option<Handle>,
    receiver_waker: Option<Waker>,
    sender_waker: Option<Waker>,
    close_waker: Option<Waker>,
}

impl Channel {
    /// Receives the next chunk. Chunks that are still buffered at an abort are discarded, since an aborted body gives
    /// no guarantee about them.
    pub(super) fn poll_chunk(&mut self, cx: &Context<'_>) -> Poll<Option<Result<Bytes, Aborted>>> {
        if self.state == State::Aborted {
            return Poll::Ready(Some(Err(Aborted)));
        }
        if let Some(chunk) = self.chunks.pop_front() {
            wake(&mut self.sender_waker);
            return Poll::Ready(Some(Ok(chunk)));
        }
        if self.state == State::Finished {
            return Poll::Ready(None);
        }
        self.receiver_waker = Some(cx.waker().clone());
        Poll::Pending
    }

    /// Ready when the buffer has room for a chunk or the body was dropped.
    pub(super) fn poll_capacity(&mut self, cx: &Context<'_>) -> Poll<()> {
        if self.closed || self.chunks.len() < MAX_CHUNKS {
            return Poll::Ready(());
        }
        self.sender_waker = Some(cx.waker().clone());
        Poll::Pending
    }

    /// Ready when the body was dropped.
    pub(super) fn poll_closed(&mut self, cx: &Context<'_>) -> Poll<()> {
        if self.closed {
            return Poll::Ready(());
        }
        self.close_waker = Some(cx.waker().clone());
        Poll::Pending
    }

    pub(super) fn push(&mut self, chunk: Bytes) {
        self.chunks.push_back(chunk);
        wake(&mut self.receiver_waker);
    }

    /// Sets the connection that sends the body.
    pub(super) fn bind(&mut self, connection: Handle) {
        self.connection = Some(connection);
    }

    /// Sets the final state of the body; later calls have no effect.
    pub(super) fn finish(&mut self, state: State) {
        if self.state != State::Open {
            return;
        }
        self.state = state;
        wake(&mut self.receiver_waker);
        if state == State::Aborted {
            self.reset();
        }
    }

    /// Resets the connection at once. A connection that is blocked on a peer that reads nothing does not poll the body,
    /// so it would not notice the abort.
    fn reset(&mut self) {
        let Some(connection) = self.connection.take() else {
            return;
        };
        if let Err(error) = connection.reset() {
            log::debug!("connection reset failed: {error}");
        }
    }

    /// Marks the channel as closed when the body is dropped.
    pub(super) fn close(&mut self) {
        self.closed = true;
        self.connection = None;
        self.chunks.clear();
        wake(&mut self.sender_waker);
        wake(&mut self.close_waker);
    }

    pub(super) fn is_closed(&self) -> bool {
        self.closed
    }

    pub(super) fn is_done(&self) -> bool {
        self.state == State::Finished && self.chunks.is_empty()
    }
}

fn wake(waker: &mut Option<Waker>) {
    if let Some(waker) = waker.take() {
        waker.wake();
    }
}
