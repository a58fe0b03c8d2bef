//! One attempt to get an answer to a request from an upstream.

use std::net::SocketAddr;
use std::sync::Arc;

use comfreyroad::Event;
use comfreyroad::action::Send;
use comfreyroad::event::{Failure, Signal, Unwritten};
use comfreyroad::request::{Target, Usage};
use comfreyroad_net::body::Body;
use comfreyroad_net::client::{self, Client, Reader, Sent};
use comfreyroad_wire::engine::{self, Chunk};
use comfreyroad_wire::sse;
use http::{HeaderMap, Request, Response, StatusCode};
use hyper::body::{Body as _, Incoming};

use crate::daemon::Shared;

/// A running attempt.
pub(super) struct Attempt {
    shared: Shared,
    client: Client,
    send: Send,
}

/// Why an attempt ended without a complete answer.
#[derive(Debug, thiserror::Error)]
enum Error {
    #[error("address {0} cannot be parsed")]
    Address(Arc<str>),
    #[error("build request: {0}")]
    Request(#[from] http::Error),
    #[error("build request: {0}")]
    Json(#[from] serde_json::Error),
    #[error(transparent)]
    Call(#[from] client::Error),
    #[error("busy")]
    Busy,
    #[error("status {0}")]
    Status(StatusCode),
    #[error("read answer: {0}")]
    Events(#[from] sse::Error),
    #[error("read answer: {0}")]
    Chunk(#[from] engine::ChunkError),
    #[error("answer comes from version {0:?}")]
    Version(String),
    #[error("answer has neither a content length nor chunked encoding")]
    Unframed,
    #[error("answer ended before its last chunk")]
    Truncated,
}

impl Attempt {
    pub(super) fn new(shared: Shared, client: Client, send: Send) -> Self {
        Self {
            shared,
            client,
            send,
        }
    }

    pub(super) async fn run(self) {
        let signal = match self.exchange().await {
            Ok(usage) => Signal::End { usage },
            Err(error) => Signal::Failed(error.into_failure()),
        };
        self.signal(signal);
    }

    fn signal(&self, signal: Signal) {
        let (attempt, upstream) = (self.send.attempt, self.send.upstream.clone());
        self.shared.queue(Event::Attempt {
            attempt,
            upstream,
            signal,
        });
    }

    async fn exchange(&self) -> Result<Usage, Error> {
        let address: SocketAddr = self
            .send
            .address
            .parse()
            .map_err(|_| Error::Address(self.send.address.clone()))?;
        let request = self.request()?;
        let answer = self
            .client
            .call(address, request, self.send.deadline)
            .await?;
        let is_chat = matches!(self.send.head.target, Target::Chat(_));
        match answer.status() {
            StatusCode::OK => {}
            StatusCode::SERVICE_UNAVAILABLE if is_chat => return Err(Error::Busy),
            status if is_chat => return Err(Error::Status(status)),
            _ => {}
        }
        let framing = Framing::detect(&answer, &self.send)?;
        self.signal(response_head(&answer));
        let reader = Reader::new(address, answer.into_body());
        if is_chat {
            self.forward_tokens(reader).await
        } else {
            self.forward_bytes(reader, framing).await
        }
    }

    fn request(&self) -> Result<Request<Body>, Error> {
        let send = &self.send;
        let remaining = send
            .deadline
            .saturating_duration_since(std::time::Instant::now());
        let request = Request::builder()
            .header("x-request-id", &*send.head.id)
            .header("x-attempt-id", &*send.tag)
            .header("x-deadline-ms", remaining.as_millis().to_string());
        match (&send.head.target, &send.version) {
            (Target::Chat(_), Some(version)) => Ok(request
                .method("POST")
                .uri("/v1/chat/completions")
                .header("content-type", "application/json")
                .header("x-priority", send.priority.to_string())
                .header("x-resume-offset", send.resume_from.to_string())
                .body(Body::full(engine::request_body(&send.head.body, version)?))?),
            (Target::Chat(_), None) => Err(Error::Status(StatusCode::NOT_FOUND)),
            (Target::Service(service), _) => Ok(request
                .method(&*service.method)
                .uri(&*service.path)
                .header("content-type", "application/json")
                .body(Body::full(send.head.body.to_vec()))?),
        }
    }

    /// Queues the tokens as they arrive. The answer is complete only after both the last chunk and the end marker.
    async fn forward_tokens(&self, mut reader: Reader) -> Result<Usage, Error> {
        let mut events = sse::Parser::default();
        let mut usage = None;
        while let Some(bytes) = reader.next_chunk(self.send.deadline).await? {
            events.feed(&bytes);
            while let Some(data) = events.next_event()? {
                if data == engine::DONE {
                    return usage.ok_or(Error::Truncated);
                }
                let chunk = Chunk::parse(&data)?;
                if chunk.model.as_deref() != self.send.version.as_deref() {
                    return Err(Error::Version(chunk.model.unwrap_or_default()));
                }
                if chunk.finished {
                    usage = Some(chunk.usage.ok_or(Error::Truncated)?);
                }
                if !chunk.text.is_empty() {
                    self.signal(token_part(chunk));
                }
            }
        }
        Err(Error::Truncated)
    }

    async fn forward_bytes(&self, mut reader: Reader, framing: Framing) -> Result<Usage, Error> {
        let mut offset = 0;
        while let Some(bytes) = reader.next_chunk(self.send.deadline).await? {
            let length = bytes.len() as u64;
            self.signal(Signal::Part {
                tag: None,
                offset,
                length,
                bytes: bytes[..].into(),
            });
            offset += length;
        }
        let length = match framing {
            Framing::Length(length) => length,
            Framing::Chunked => offset,
        };
        Ok(Usage {
            completion_tokens: u32::try_from(length).unwrap_or(u32::MAX),
            ..Usage::default()
        })
    }
}

/// How the end of a response body is marked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Framing {
    /// By the content length in bytes.
    Length(u64),
    /// By the last chunk of the chunked encoding.
    Chunked,
}

impl Framing {
    /// Reads the framing from the headers. A body that ends with its connection is rejected, because it cannot be
    /// distinguished from a truncated one.
    fn detect(answer: &Response<Incoming>, send: &Send) -> Result<Self, Error> {
        let is_head =
            matches!(&send.head.target, Target::Service(service) if &*service.method == "HEAD");
        if is_head {
            return Ok(Self::Length(0));
        }
        if let Some(length) = answer.body().size_hint().exact() {
            return Ok(Self::Length(length));
        }
        let coding = header_text(answer.headers(), "transfer-encoding").unwrap_or_default();
        if coding.to_ascii_lowercase().ends_with("chunked") {
            Ok(Self::Chunked)
        } else {
            Err(Error::Unframed)
        }
    }
}

impl Error {
    fn into_failure(self) -> Failure {
        let unwritten = match &self {
            Self::Call(error) if error.sent == Sent::No => Some(Unwritten::no_connection()),
            Self::Address(_) | Self::Request(_) | Self::Json(_) => Some(Unwritten::no_connection()),
            _ => None,
        };
        let is_busy = matches!(self, Self::Busy);
        Failure {
            unwritten,
            is_busy,
            reason: self.to_string().into(),
        }
    }
}

fn token_part(chunk: Chunk) -> Signal {
    Signal::Part {
        tag: Some(chunk.id.into()),
        offset: chunk.offset,
        length: 1,
        bytes: chunk.text.into_bytes().into(),
    }
}

fn response_head(answer: &Response<Incoming>) -> Signal {
    Signal::Head {
        status: answer.status().as_u16(),
        content_type: header_text(answer.headers(), "content-type"),
        tag: header_text(answer.headers(), "x-attempt-id"),
        boot: header_text(answer.headers(), "x-boot"),
    }
}

fn header_text(headers: &HeaderMap, name: &str) -> Option<Arc<str>> {
    headers.get(name)?.to_str().ok().map(Into::into)
}
