use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use comfreyroad_net::body::{Body, Sender};
use comfreyroad_net::client::{Client, Reader, Sent, read_all};
use comfreyroad_net::listener::Listener;
use comfreyroad_net::server::Server;
use http::request::Parts;
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode};
use hyper::body::Incoming;
use serde_json::{Value, json};

use super::refusal::{Refusal, json_answer};
use super::{Call, Settings, State, Target, refresh};
use crate::{Error, Result};

/// Timeout of a request without an `x-deadline-ms` header.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);
/// Largest accepted request body in bytes.
const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;

/// A stateless baseline router.
#[derive(Clone)]
pub struct Router {
    settings: Rc<Settings>,
    state: Rc<RefCell<State>>,
    client: Client,
}

impl Router {
    /// Creates a router that is not running yet.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        Self {
            state: Rc::new(RefCell::new(State::new(settings.seed))),
            settings: Rc::new(settings),
            client: Client::default(),
        }
    }

    /// Serves requests until the future is dropped.
    pub async fn run(self) -> Result<()> {
        let fail = |source| Error::Program {
            step: "listen",
            program: self.settings.entry.clone(),
            source,
        };
        let listener = Listener::bind(self.settings.listen).map_err(fail)?;
        let state = Rc::clone(&self.state);
        compio::runtime::spawn(refresh::rules(Rc::clone(&state), self.settings.log)).detach();
        compio::runtime::spawn(refresh::upstreams(state, self.settings.vms)).detach();
        let router = self.clone();
        Server::new(listener)
            .serve(move |request, peer| router.clone().answer(request, peer))
            .await;
        Ok(())
    }

    async fn answer(self, request: Request<Incoming>, peer: SocketAddr) -> Response<Body> {
        match request.uri().path() {
            "/health/live" => json_answer(StatusCode::OK, &json!({})),
            "/health/ready" if self.state.borrow().is_ready() => {
                json_answer(StatusCode::OK, &json!({}))
            }
            "/health/ready" => json_answer(StatusCode::SERVICE_UNAVAILABLE, &json!({})),
            "/status" => json_answer(StatusCode::OK, &self.status()),
            _ => match self.forward(request, peer).await {
                Ok(answer) => answer,
                Err(refusal) => refusal.answer(),
            },
        }
    }

    fn status(&self) -> Value {
        let generation = self.state.borrow().history.generation();
        let (entry, zone) = (&self.settings.entry, &self.settings.zone);
        json!({ "entry": entry, "zone": zone, "phase": "serving", "generation": generation })
    }

    async fn forward(
        &self,
        request: Request<Incoming>,
        peer: SocketAddr,
    ) -> Result<Response<Body>, Refusal> {
        let deadline = Instant::now() + request_timeout(request.headers());
        let (parts, body) = request.into_parts();
        let bad = |_| Refusal::not_run(StatusCode::BAD_REQUEST, "bad_request");
        let body = read_all(peer, body, MAX_BODY_BYTES, deadline)
            .await
            .map_err(bad)?;
        let is_chat = parts.uri.path() == "/v1/chat/completions";
        let mut chat: Value = if is_chat {
            serde_json::from_slice(&body)
                .map_err(|_| Refusal::not_run(StatusCode::BAD_REQUEST, "bad_request"))?
        } else {
            Value::Null
        };
        let call = if is_chat {
            Call::Chat(chat["model"].as_str().unwrap_or_default())
        } else {
            Call::Service(parts.uri.path())
        };
        let target =
            self.state
                .borrow_mut()
                .select(self.settings.policy, &key_hash(&parts.headers), call);
        let Some(target) = target else {
            return Err(Refusal::not_run(
                StatusCode::SERVICE_UNAVAILABLE,
                "no_upstream",
            ));
        };
        let body = match &target.version {
            Some(version) => {
                chat["model"] = version.as_str().into();
                Bytes::from(chat.to_string())
            }
            None => body,
        };
        self.send(&parts, body, &target, deadline).await
    }

    async fn send(
        &self,
        parts: &Parts,
        body: Bytes,
        target: &Target,
        deadline: Instant,
    ) -> Result<Response<Body>, Refusal> {
        let id = parts.headers.get("x-request-id").cloned();
        let id = id.unwrap_or_else(|| HeaderValue::from_static("none"));
        let request = Request::builder()
            .method(parts.method.clone())
            .uri(parts.uri.path())
            .header("content-type", "application/json")
            .header("x-attempt-id", &id)
            .header("x-request-id", id)
            .body(Body::full(body))
            .map_err(|_| Refusal::not_run(StatusCode::BAD_REQUEST, "bad_request"))?;
        let answer = match self.client.call(target.address, request, deadline).await {
            Ok(answer) => answer,
            Err(error) if error.sent == Sent::No => {
                return Err(Refusal::not_run(
                    StatusCode::SERVICE_UNAVAILABLE,
                    "no_connection",
                ));
            }
            Err(_) => return Err(Refusal::maybe_run("upstream_failed")),
        };
        if answer.status() == StatusCode::SERVICE_UNAVAILABLE {
            return Err(Refusal::not_run(StatusCode::SERVICE_UNAVAILABLE, "busy"));
        }
        let (sender, body) = Body::channel();
        let mut reply = Response::new(body);
        *reply.status_mut() = answer.status();
        if let Some(version) = target
            .version
            .as_deref()
            .and_then(|version| version.parse().ok())
        {
            reply.headers_mut().insert("x-version", version);
        }
        let reader = Reader::new(target.address, answer.into_body());
        compio::runtime::spawn(relay_body(reader, sender, deadline)).detach();
        Ok(reply)
    }
}

/// Relays an answer body to the caller. An answer that breaks off is aborted for the caller too.
async fn relay_body(mut reader: Reader, sender: Sender, deadline: Instant) {
    loop {
        match reader.next_chunk(deadline).await {
            Ok(Some(chunk)) => {
                if sender.send(chunk).await.is_err() {
                    return;
                }
            }
            Ok(None) => return sender.finish(),
            Err(_) => return sender.abort(),
        }
    }
}

fn request_timeout(headers: &HeaderMap) -> Duration {
    let millis = headers
        .get("x-deadline-ms")
        .and_then(|value| value.to_str().ok()?.parse().ok());
    millis.map_or(DEFAULT_TIMEOUT, Duration::from_millis)
}

fn key_hash(headers: &HeaderMap) -> [u8; 32] {
    let value = headers
        .get("authorization")
        .and_then(|value| value.to_str().ok());
    let key = value
        .and_then(|value| value.strip_prefix("Bearer "))
        .unwrap_or_default();
    *blake3::hash(key.as_bytes()).as_bytes()
}
