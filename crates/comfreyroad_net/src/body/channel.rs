use std::{
    collections::VecDeque,
    task::{Context, Poll, Waker},
};

use bytes::Bytes;

use crate::stream::Handle;

/// Chunks that wait for the connection; a sender with more has to wait.
const MAX_CHUNKS: usize = 8;

/// The sender gave the body up before its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the body was broken off by its sender")]
pub struct Aborted;

/// How far a body has got.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum State {
    /// More chunks may come.
    #[default]
    Open,
    /// What is in the channel is the rest.
    Finished,
    /// The rest will never come.
    Aborted,
}

/// What a body and its sender share.
#[derive(Debug, Default)]
pub(super) struct Channel {
    chunks: VecDeque<Bytes>,
    state: State,
    closed: bool,
    connection: Option<Handle>,
    receiver: Option<Waker>,
    sender: Option<Waker>,
    watcher: Option<Waker>,
}

impl Channel {
    /// Takes the next chunk. Chunks sent before an abort are dropped, since nobody may count on them.
    pub(super) fn poll_chunk(&mut self, cx: &Context<'_>) -> Poll<Option<Result<Bytes, Aborted>>> {
        if self.state == State::Aborted {
            return Poll::Ready(Some(Err(Aborted)));
        }
        if let Some(chunk) = self.chunks.pop_front() {
            wake(&mut self.sender);
            return Poll::Ready(Some(Ok(chunk)));
        }
        if self.state == State::Finished {
            return Poll::Ready(None);
        }
        self.receiver = Some(cx.waker().clone());
        Poll::Pending
    }

    /// Ready when there is room for a chunk or nobody takes chunks any more.
    pub(super) fn poll_capacity(&mut self, cx: &Context<'_>) -> Poll<()> {
        if self.closed || self.chunks.len() < MAX_CHUNKS {
            return Poll::Ready(());
        }
        self.sender = Some(cx.waker().clone());
        Poll::Pending
    }

    /// Ready when the body was dropped.
    pub(super) fn poll_closed(&mut self, cx: &Context<'_>) -> Poll<()> {
        if self.closed {
            return Poll::Ready(());
        }
        self.watcher = Some(cx.waker().clone());
        Poll::Pending
    }

    pub(super) fn push(&mut self, chunk: Bytes) {
        self.chunks.push_back(chunk);
        wake(&mut self.receiver);
    }

    /// Names the connection that the body goes to.
    pub(super) fn bind(&mut self, connection: Handle) {
        self.connection = Some(connection);
    }

    /// Sets the end of the body; the first one counts.
    pub(super) fn finish(&mut self, state: State) {
        if self.state != State::Open {
            return;
        }
        self.state = state;
        wake(&mut self.receiver);
        if state == State::Aborted {
            self.reset();
        }
    }

    /// Breaks the connection at once: it may wait for a peer that reads nothing, and would not look at the body.
    fn reset(&mut self) {
        let Some(connection) = self.connection.take() else {
            return;
        };
        if let Err(error) = connection.reset() {
            log::debug!("reset of a connection: {error}");
        }
    }

    /// Notes that the body was dropped.
    pub(super) fn close(&mut self) {
        self.closed = true;
        self.connection = None;
        self.chunks.clear();
        wake(&mut self.sender);
        wake(&mut self.watcher);
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
