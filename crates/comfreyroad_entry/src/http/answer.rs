//! Encoding of answers as HTTP responses: complete, streamed, refused or aborted.

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

/// The answer to one call. If it is dropped before its end, it queues an event that the caller is gone.
#[derive(Debug)]
pub(super) struct Answer {
    shared: Shared,
    call: CallId,
    id: RequestId,
    format: Format,
    parts: UnboundedReceiver<Part>,
    ended: bool,
}

/// Encoding of the response body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Format {
    /// Server-sent events, one per part of the answer.
    EventStream,
    /// One JSON object, sent when the answer is complete.
    Json,
    /// The unchanged body of a plain service.
    Raw,
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
        let format = match &head.target {
            Target::Chat(chat) if chat.stream => Format::EventStream,
            Target::Chat(_) => Format::Json,
            Target::Service(_) => Format::Raw,
        };
        Self {
            shared,
            call: head.call,
            id: head.id.clone(),
            format,
            parts,
            ended: false,
        }
    }

    /// Waits until the answer begins, or until it is complete if it is not streamed, and builds the response.
    pub(super) async fn respond(mut self) -> Response<Body> {
        let response = Response::builder().header("x-request-id", &*self.id);
        match self.next_part().await {
            Some(Part::Begin {
                status,
                content_type,
                session,
                version,
            }) => {
                let response = start_response(response, status, session, version.as_ref());
                match self.format {
                    Format::Json => self.complete(response, version).await,
                    Format::EventStream => self.stream(response, "text/event-stream", version),
                    Format::Raw => {
                        let content_type =
                            content_type.unwrap_or_else(|| "application/octet-stream".into());
                        self.stream(response, &content_type, version)
                    }
                }
            }
            Some(Part::Refuse(refusal)) => refuse(response, &refusal),
            _ => upstream_failed(response),
        }
    }

    async fn next_part(&mut self) -> Option<Part> {
        let part = self.parts.next().await;
        self.ended |= !matches!(part, Some(Part::Begin { .. } | Part::Bytes(_)));
        part
    }

    async fn complete(mut self, response: Builder, version: Option<VersionId>) -> Response<Body> {
        let mut text = Vec::new();
        loop {
            match self.next_part().await {
                Some(Part::Bytes(bytes)) => text.extend_from_slice(&bytes),
                Some(Part::Finish(usage)) => {
                    let text = String::from_utf8_lossy(&text);
                    let body =
                        caller::completion(&self.id, &version.unwrap_or_default(), &text, usage);
                    return build(response.header(CONTENT_TYPE, "application/json"), body);
                }
                Some(Part::Refuse(refusal)) => return refuse(response, &refusal),
                _ => return upstream_failed(response),
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
        compio::runtime::spawn(self.forward_parts(sender, version.unwrap_or_default())).detach();
        let response = response.header(CONTENT_TYPE, content_type).body(body);
        response.unwrap_or_else(|_| Response::new(Body::default()))
    }

    /// Forwards the parts to the response body. A sender dropped before `finish` aborts the connection, so that the
    /// caller can detect an incomplete answer.
    async fn forward_parts(mut self, sender: Sender, version: VersionId) {
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
        match self.format {
            Format::EventStream => {
                caller::chunk(&self.id, version, &String::from_utf8_lossy(bytes)).into()
            }
            _ => Bytes::copy_from_slice(bytes),
        }
    }

    async fn finish(&self, sender: Sender, version: &str, usage: Usage) {
        if self.format == Format::EventStream {
            let last = caller::last_chunk(&self.id, version, usage) + caller::DONE;
            if sender.send(last.into()).await.is_err() {
                return;
            }
        }
        sender.finish();
    }
}

fn start_response(
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

/// Refusal for an answer that was aborted before any of it was sent to the caller.
fn upstream_failed(response: Builder) -> Response<Body> {
    let refusal = Refusal::maybe(comfreyroad::refusal::Code::UpstreamFailed, "answer");
    refuse(response, &refusal)
}

fn build(response: Builder, body: impl Into<Bytes>) -> Response<Body> {
    response
        .body(Body::full(body))
        .unwrap_or_else(|_| Response::new(Body::default()))
}

/// Response to a request that cannot be parsed.
pub(super) fn bad_request(step: &str, message: &str) -> Response<Body> {
    json(
        StatusCode::BAD_REQUEST,
        caller::error_body("bad_request", step, message),
    )
}

/// Plain text response.
pub(super) fn text(status: StatusCode, text: &str) -> Response<Body> {
    build(
        Response::builder()
            .status(status)
            .header(CONTENT_TYPE, "text/plain; charset=utf-8"),
        text.to_owned(),
    )
}

/// JSON response.
pub(super) fn json(status: StatusCode, body: String) -> Response<Body> {
    build(
        Response::builder()
            .status(status)
            .header(CONTENT_TYPE, "application/json"),
        body,
    )
}

/// Response to a peer with an encoded frame.
pub(super) fn frame(bytes: Vec<u8>) -> Response<Body> {
    build(
        Response::builder().header(CONTENT_TYPE, "application/msgpack"),
        bytes,
    )
}
