use std::{
    cell::RefCell,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
};

use bytes::Bytes;
use hyper::body::{Body as _, Frame, SizeHint};

use super::{
    channel::{Aborted, Channel},
    sender::Sender,
};
use crate::stream::{Handle, Upload};

/// Body of a request or response that this process sends.
#[derive(Debug, Default)]
pub struct Body {
    source: Source,
    // If it is the body of a request.
    _upload: Option<Upload>,
}

#[derive(Debug)]
enum Source {
    Full(Bytes),
    Chunks(Receiver),
}

impl Default for Source {
    fn default() -> Self {
        Self::Full(Bytes::new())
    }
}

impl Body {
    /// Creates a body from bytes that are already complete.
    pub fn full(bytes: impl Into<Bytes>) -> Self {
        Self {
            source: Source::Full(bytes.into()),
            _upload: None,
        }
    }

    /// Creates a body whose chunks come from the returned sender.
    pub fn channel() -> (Sender, Self) {
        let channel = Rc::new(RefCell::new(Channel::default()));
        let source = Source::Chunks(Receiver(channel.clone()));
        let body = Self {
            source,
            _upload: None,
        };
        (Sender::new(channel), body)
    }

    /// Sets the connection that sends it as the body of a request.
    pub(crate) fn upload(&mut self, connection: &Handle) {
        self.bind(connection);
        if !self.is_end_stream() {
            self._upload = Some(connection.begin_upload());
        }
    }

    /// Sets the connection that sends the body, so that the sender can reset it.
    pub(crate) fn bind(&self, connection: &Handle) {
        if let Source::Chunks(receiver) = &self.source {
            receiver.0.borrow_mut().bind(connection.clone());
        }
    }
}

impl From<Bytes> for Body {
    fn from(bytes: Bytes) -> Self {
        Self::full(bytes)
    }
}

impl hyper::body::Body for Body {
    type Data = Bytes;
    type Error = Aborted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Self::Data>, Self::Error>>> {
        match &mut self.source {
            Source::Full(bytes) if bytes.is_empty() => Poll::Ready(None),
            Source::Full(bytes) => Poll::Ready(Some(Ok(Frame::data(std::mem::take(bytes))))),
            Source::Chunks(receiver) => {
                let chunk = receiver.0.borrow_mut().poll_chunk(cx);
                chunk.map(|chunk| chunk.map(|chunk| chunk.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match &self.source {
            Source::Full(bytes) => bytes.is_empty(),
            Source::Chunks(receiver) => receiver.0.borrow().is_done(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.source {
            Source::Full(bytes) => SizeHint::with_exact(bytes.len() as u64),
            Source::Chunks(_) => SizeHint::default(),
        }
    }
}

/// Receiving side of a channel. Dropping it notifies the sender.
#[derive(Debug)]
struct Receiver(Rc<RefCell<Channel>>);

impl Drop for Receiver {
    fn drop(&mut self) {
        self.0.borrow_mut().close();
    }
}
