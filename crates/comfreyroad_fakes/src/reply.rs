//! HTTP responses of the stand-ins.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use futures_channel::mpsc;
use futures_util::StreamExt;
use http::{Response, StatusCode, header};
use hyper::body::{Body as HttpBody, Frame, SizeHint};
use serde::Serialize;

use crate::Error;

/// An HTTP response.
pub type Reply = Response<Body>;

/// Sender for the parts of a streamed body; an error closes the connection.
pub type Parts = mpsc::Sender<Result<Bytes, Error>>;

/// Body of a response.
pub enum Body {
    /// Known when the response is created.
    Whole(Option<Bytes>),
    /// Sent in parts as they are produced.
    Stream(mpsc::Receiver<Result<Bytes, Error>>),
}

impl Body {
    /// Creates a streamed body and its sender.
    #[must_use]
    pub fn stream() -> (Parts, Self) {
        let (parts, receiver) = mpsc::channel(1);
        (parts, Self::Stream(receiver))
    }
}

impl HttpBody for Body {
    type Data = Bytes;
    type Error = Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Error>>> {
        match &mut *self {
            Self::Whole(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Stream(parts) => parts
                .poll_next_unpin(cx)
                .map(|part| part.map(|part| part.map(Frame::data))),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(bytes) => SizeHint::with_exact(bytes.as_ref().map_or(0, Bytes::len) as u64),
            Self::Stream(_) => SizeHint::default(),
        }
    }
}

/// A JSON response.
#[must_use]
pub fn json<T: Serialize>(status: StatusCode, value: &T) -> Reply {
    let body = serde_json::to_vec(value).unwrap_or_default();
    with_content_type(status, "application/json", Body::Whole(Some(body.into())))
}

/// A response with a binary body.
#[must_use]
pub fn bytes(body: Bytes) -> Reply {
    with_content_type(
        StatusCode::OK,
        "application/octet-stream",
        Body::Whole(Some(body)),
    )
}

/// A response that streams server-sent events.
#[must_use]
pub fn events(body: Body) -> Reply {
    with_content_type(StatusCode::OK, "text/event-stream", body)
}

/// A JSON error response.
#[must_use]
pub fn error(status: StatusCode, message: &str) -> Reply {
    json(
        status,
        &serde_json::json!({ "error": { "message": message } }),
    )
}

/// Adds a header; an invalid header value is ignored.
#[must_use]
pub fn with_header(mut reply: Reply, name: &'static str, value: &str) -> Reply {
    if let Ok(value) = value.parse() {
        reply.headers_mut().insert(name, value);
    }
    reply
}

fn with_content_type(status: StatusCode, content_type: &'static str, body: Body) -> Reply {
    let mut reply = Response::new(body);
    *reply.status_mut() = status;
    reply.headers_mut().insert(
        header::CONTENT_TYPE,
        http::HeaderValue::from_static(content_type),
    );
    reply
}
