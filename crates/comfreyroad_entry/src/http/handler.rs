use std::net::SocketAddr;
use std::time::{Duration, Instant};

use comfreyroad::Event;
use comfreyroad::controller::lifecycle::Phase;
use comfreyroad::request::{Head, Request as Call, Service, Target};
use comfreyroad_net::body::Body;
use comfreyroad_net::client::read_all;
use comfreyroad_wire::{caller, frame};
use http::header::{CONNECTION, HeaderValue};
use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;

use super::answer::{self, Answer};
use super::explain;
use super::headers::Headers;
use super::status;
use crate::daemon::Shared;

/// Prefix of the paths that return the trace of a request.
const EXPLAIN_PREFIX: &str = "/explain/";
/// Maximum length of a request body in bytes.
const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;
/// Timeout for receiving a request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);

/// Handles the requests on the listener.
#[derive(Clone, Debug)]
pub struct Handler {
    shared: Shared,
}

impl Handler {
    /// Creates a handler that queues calls for the event loop.
    pub fn new(shared: Shared) -> Self {
        Self { shared }
    }

    /// Routes a request and returns its response.
    pub async fn answer(self, request: Request<Incoming>, peer: SocketAddr) -> Response<Body> {
        let mut response = self.route(request, peer).await;
        // Closes the connection after the response, so that the client sends its next request to another entry.
        if self.is_shutting_down() {
            let headers = response.headers_mut();
            headers.insert(CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }

    fn is_shutting_down(&self) -> bool {
        let phase = self.shared.entry.borrow().state().lifecycle.phase();
        matches!(phase, Phase::Draining(_) | Phase::Gone(_))
    }

    async fn route(&self, request: Request<Incoming>, peer: SocketAddr) -> Response<Body> {
        let path = request.uri().path().to_owned();
        match (request.method(), &*path) {
            (&Method::GET, "/health/live") => answer::text(StatusCode::OK, "live\n"),
            (&Method::GET, "/health/ready") => self.readiness(),
            (&Method::GET, "/metrics") => answer::text(
                StatusCode::OK,
                &self.shared.metrics.encode(&self.shared.entry.borrow()),
            ),
            (&Method::GET, "/status") => {
                let state = status::status(&self.shared.entry.borrow(), &self.shared.settings.core);
                answer::json(StatusCode::OK, state.to_string())
            }
            (&Method::GET, path) if path.starts_with(EXPLAIN_PREFIX) => self.explain(path),
            (&Method::POST, "/peer") => self.peer(request, peer).await,
            _ => self.call(request, peer).await,
        }
    }

    fn readiness(&self) -> Response<Body> {
        let entry = self.shared.entry.borrow();
        let lifecycle = &entry.state().lifecycle;
        let status = if lifecycle.is_ready() {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        };
        let term = entry.state().term.stage();
        answer::text(
            status,
            &format!("{}, term {}\n", lifecycle.phase().name(), term.name()),
        )
    }

    fn explain(&self, path: &str) -> Response<Body> {
        let request = path
            .strip_prefix(EXPLAIN_PREFIX)
            .and_then(explain::percent_decode);
        let entry = self.shared.entry.borrow();
        match request.and_then(|request| explain::explain(&entry, &request)) {
            Some(trace) => answer::json(StatusCode::OK, trace.to_string()),
            None => answer::text(StatusCode::NOT_FOUND, "no such request\n"),
        }
    }

    async fn peer(&self, request: Request<Incoming>, peer: SocketAddr) -> Response<Body> {
        let deadline = Instant::now() + BODY_TIMEOUT;
        let body = read_all(peer, request.into_body(), MAX_BODY_BYTES, deadline).await;
        let frame = body.ok().and_then(|body| frame::decode(&body).ok());
        let Some(frame) = frame else {
            return answer::text(StatusCode::BAD_REQUEST, "no frame\n");
        };
        let (exchange, receiver) = self.shared.calls.borrow_mut().open_exchange();
        let address = frame.address.clone();
        self.shared.queue(Event::Peer(Box::new(frame)));
        self.shared.queue(Event::PeerRequest { exchange, address });
        match receiver.await {
            Ok(frame) => answer::frame(frame::encode(&frame)),
            Err(_) => answer::text(StatusCode::SERVICE_UNAVAILABLE, "gone\n"),
        }
    }

    async fn call(&self, request: Request<Incoming>, peer: SocketAddr) -> Response<Body> {
        let received = Instant::now();
        let headers = match Headers::read(request.headers(), received) {
            Ok(headers) => headers,
            Err(error) => return answer::bad_request("headers", &error.to_string()),
        };
        let (parts, body) = request.into_parts();
        let deadline = headers.deadline.min(received + BODY_TIMEOUT);
        let body = match read_all(peer, body, MAX_BODY_BYTES, deadline).await {
            Ok(body) => body,
            Err(error) => return answer::bad_request("body", &error.to_string()),
        };
        let target = match parse_target(&parts, &body) {
            Ok(target) => target,
            Err(error) => return answer::bad_request("body", &error.to_string()),
        };
        let (call, answer_parts) = self.shared.calls.borrow_mut().open();
        let head = Head {
            call,
            id: headers.id,
            key: headers.key,
            session: headers.session,
            received,
            deadline: headers.deadline,
            attempt: headers.attempt,
            may_repeat: headers.may_repeat,
            target,
            body: body[..].into(),
        };
        let answer = Answer::new(self.shared.clone(), &head, answer_parts);
        self.shared.queue(Event::Call(Box::new(Call::new(head))));
        answer.respond().await
    }
}

fn parse_target(parts: &http::request::Parts, body: &[u8]) -> Result<Target, caller::ChatError> {
    if parts.method == Method::POST && parts.uri.path() == "/v1/chat/completions" {
        return Ok(Target::Chat(caller::parse_chat(body)?));
    }
    let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
    Ok(Target::Service(Service {
        method: parts.method.as_str().into(),
        path: path.into(),
    }))
}
