//! Answers: whole, streamed, refused, or broken off.

use std::sync::Arc;

use bytes::Bytes;
use comfreyroad::Event;
use comfreyroad::id::{CallId, RequestId, VersionId};
use comfreyroad::refusal::Refusal;
use comfreyroad::request::{Head, Target, Usage};
use comfreyroad_net::body::{Body, Sender};
use comfreyroad_wire::caller;
use futures_channel::mpsc::UnboundedReceiver;
use futures_util::StreamExt;
use futures_util::future::{Either, select};
use http::{Response, StatusCode, header::CONTENT_TYPE, response::Builder};

use super::Part;
use crate::daemon::Shared;

/// A call on its way to an answer. Dropped before its end, it tells the loop that the caller is gone.
#[derive(Debug)]
pub(super) struct Answer {
    shared: Shared,
    call: CallId,
    id: RequestId,
    shape: Shape,
    parts: UnboundedReceiver<Part>,
    ended: bool,
}

/// How an answer is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Shape {
    /// Server-sent events as tokens come.
    Events,
    /// One JSON object.
    Whole,
    /// The plain service's own bytes.
    Bytes,
}

impl Drop for Answer {
    fn drop(&mut self) {
        if !self.ended {
            self.shared.calls.borrow_mut().close(self.call);
            self.shared.queue(Event::CallerGone(self.call));
        }
    }
}

impl Answer {
    pub(super) fn new(shared: Shared, head: &Head, parts: UnboundedReceiver<Part>) -> Self {
        let shape = match &head.target {
            Target::Chat(chat) if chat.stream => Shape::Events,
            Target::Chat(_) => Shape::Whole,
            Target::Service(_) => Shape::Bytes,
        };
        Self {
            shared,
            call: head.call,
            id: head.id.clone(),
            shape,
            parts,
            ended: false,
        }
    }

    /// Waits for the answer to begin, and for its end where it is not streamed.
    pub(super) async fn respond(mut self) -> Response<Body> {
        let response = Response::builder().header("x-request-id", &*self.id);
        match self.next().await {
            Some(Part::Begin {
                status,
                content_type,
                session,
                version,
            }) => {
                let response = begin(response, status, session, version.as_ref());
                match self.shape {
                    Shape::Whole => self.whole(response, version).await,
                    Shape::Events => self.stream(response, "text/event-stream", version),
                    Shape::Bytes => {
                        let content_type =
                            content_type.unwrap_or_else(|| "application/octet-stream".into());
                        self.stream(response, &content_type, version)
                    }
                }
            }
            Some(Part::Refuse(refusal)) => refuse(response, &refusal),
            _ => broken(response),
        }
    }

    async fn next(&mut self) -> Option<Part> {
        let part = self.parts.next().await;
        self.ended |= !matches!(part, Some(Part::Begin { .. } | Part::Bytes(_)));
        part
    }

    async fn whole(mut self, response: Builder, version: Option<VersionId>) -> Response<Body> {
        let mut text = Vec::new();
        loop {
            match self.next().await {
                Some(Part::Bytes(bytes)) => text.extend_from_slice(&bytes),
                Some(Part::Finish(usage)) => {
                    let text = String::from_utf8_lossy(&text);
                    let body =
                        caller::completion(&self.id, &version.unwrap_or_default(), &text, usage);
                    return build(response.header(CONTENT_TYPE, "application/json"), body);
                }
                Some(Part::Refuse(refusal)) => return refuse(response, &refusal),
                _ => return broken(response),
            }
        }
    }

    fn stream(
        self,
        response: Builder,
        content_type: &str,
        version: Option<VersionId>,
    ) -> Response<Body> {
        let (sender, body) = Body::channel();
        compio::runtime::spawn(self.pump(sender, version.unwrap_or_default())).detach();
        let response = response.header(CONTENT_TYPE, content_type).body(body);
        response.unwrap_or_else(|_| Response::new(Body::default()))
    }

    /// Passes parts on until the end; a sender dropped before `finish` breaks the connection.
    async fn pump(mut self, sender: Sender, version: VersionId) {
        loop {
            let part = {
                let closed = std::pin::pin!(sender.closed());
                let next = std::pin::pin!(self.parts.next());
                match select(next, closed).await {
                    Either::Left((part, _)) => part,
                    Either::Right(_) => return,
                }
            };
            match part {
                Some(Part::Bytes(bytes)) => {
                    if sender.send(self.encode(&bytes, &version)).await.is_err() {
                        return;
                    }
                }
                Some(Part::Finish(usage)) => {
                    self.ended = true;
                    return self.finish(sender, &version, usage).await;
                }
                _ => {
                    self.ended = true;
                    return;
                }
            }
        }
    }

    fn encode(&self, bytes: &[u8], version: &str) -> Bytes {
        match self.shape {
            Shape::Events => {
                caller::chunk(&self.id, version, &String::from_utf8_lossy(bytes)).into()
            }
            _ => Bytes::copy_from_slice(bytes),
        }
    }

    async fn finish(&self, sender: Sender, version: &str, usage: Usage) {
        if self.shape == Shape::Events {
            let last = caller::last_chunk(&self.id, version, usage) + caller::DONE;
            if sender.send(last.into()).await.is_err() {
                return;
            }
        }
        sender.finish();
    }
}

fn begin(
    mut response: Builder,
    status: u16,
    session: Option<Arc<str>>,
    version: Option<&VersionId>,
) -> Builder {
    response = response.status(status);
    if let Some(session) = session {
        response = response.header("x-session", &*session);
    }
    if let Some(version) = version {
        response = response.header("x-version", &**version);
    }
    response
}

fn refuse(response: Builder, refusal: &Refusal) -> Response<Body> {
    let response = response
        .status(caller::status_code(refusal.code()))
        .header(CONTENT_TYPE, "application/json");
    build(response, caller::refusal_body(refusal))
}

/// An answer that broke off before a byte of it was passed on.
fn broken(response: Builder) -> Response<Body> {
    let refusal = Refusal::maybe(comfreyroad::refusal::Code::UpstreamFailed, "answer");
    refuse(response, &refusal)
}

fn build(response: Builder, body: impl Into<Bytes>) -> Response<Body> {
    response
        .body(Body::full(body))
        .unwrap_or_else(|_| Response::new(Body::default()))
}

/// A request that cannot be understood.
pub(super) fn bad_request(step: &str, message: &str) -> Response<Body> {
    json(
        StatusCode::BAD_REQUEST,
        caller::error_body("bad_request", step, message),
    )
}

/// Plain text.
pub(super) fn text(status: StatusCode, text: &str) -> Response<Body> {
    build(
        Response::builder()
            .status(status)
            .header(CONTENT_TYPE, "text/plain; charset=utf-8"),
        text.to_owned(),
    )
}

/// JSON.
pub(super) fn json(status: StatusCode, body: String) -> Response<Body> {
    build(
        Response::builder()
            .status(status)
            .header(CONTENT_TYPE, "application/json"),
        body,
    )
}

/// A peer's frame.
pub(super) fn frame(bytes: Vec<u8>) -> Response<Body> {
    build(
        Response::builder().header(CONTENT_TYPE, "application/msgpack"),
        bytes,
    )
}
