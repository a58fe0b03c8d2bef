use std::{net::SocketAddr, pin::pin};

use compio::runtime::JoinHandle;
use http::{Request, Response};
use hyper::{
    body::Incoming,
    client::conn::{TrySendError, http1},
};

use super::{error::Cause, limits::Limits, reuse::Reuse};
use crate::{
    body::Body,
    stream::{Handle, READ_BYTES, Stream},
};

/// A connection that handles one request at a time. Dropping it closes the connection.
pub(super) struct Connection {
    sender: http1::SendRequest<Body>,
    handle: Handle,
    max_header_bytes: usize,
    reuse: Reuse,
    // Dropping the handle cancels the task, which closes the stream.
    _task: JoinHandle<()>,
}

impl Connection {
    pub(super) async fn open(peer: SocketAddr, limits: Limits) -> Result<Self, Cause> {
        let stream = Stream::connect(peer).await?;
        let handle = stream.handle();
        let mut builder = http1::Builder::new();
        builder.max_header_size(limits.max_header_bytes);
        // hyper would read several times as much ahead of the caller.
        builder.max_buf_size(limits.max_header_bytes.max(READ_BYTES));
        let (sender, connection) = builder.handshake(stream).await?;
        let task = compio::runtime::spawn(async move {
            if let Err(error) = pin!(connection).await {
                log::debug!("connection to {peer}: {error}");
            }
        });
        Ok(Self {
            sender,
            handle,
            max_header_bytes: limits.max_header_bytes,
            reuse: Reuse::default(),
            _task: task,
        })
    }

    /// Sends a request and waits for the head of the response. The error returns the request if none of it was sent.
    ///
    /// Heads of informational responses count towards the limit, so that a peer cannot send them without end.
    pub(super) async fn send(
        &mut self,
        mut request: Request<Body>,
    ) -> Result<Response<Incoming>, TrySendError<Request<Body>>> {
        request.body_mut().upload(&self.handle);
        // A part of the body may arrive with the head.
        let limit = self.max_header_bytes + READ_BYTES;
        self.handle.set_readable(Some(limit));
        let response = self.sender.try_send_request(request).await;
        self.handle.set_readable(None);
        response
    }

    /// Waits until the response has been read to its end. Fails when the connection cannot be reused.
    pub(super) async fn ready(&mut self) -> hyper::Result<()> {
        self.sender.ready().await
    }

    /// Whether the connection is open and may be used again.
    pub(super) fn is_open(&self) -> bool {
        !self.sender.is_closed() && self.reuse.is_allowed()
    }

    pub(super) fn reuse(&self) -> Reuse {
        self.reuse.clone()
    }

    /// Whether the sender of a request body reset the connection.
    pub(super) fn is_reset(&self) -> bool {
        self.handle.is_reset()
    }

    /// Number of bytes written to the socket so far.
    pub(super) fn bytes_written(&self) -> u64 {
        self.handle.bytes_written()
    }
}
