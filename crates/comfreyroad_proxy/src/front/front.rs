use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use comfreyroad_net::body::Body;
use comfreyroad_net::client::{Cause, Error, read_all};
use comfreyroad_platform as platform;
use comfreyroad_router::answer::Completion;
use comfreyroad_router::answer::{Fault, Verdict};
use comfreyroad_router::configuration::Limits;
use comfreyroad_router::refusal::Code;
use comfreyroad_router::request::{Received, Returned};
use comfreyroad_router::{Refusal, Request};
use http::{Response, StatusCode};
use hyper::body::{Body as _, Incoming};

use super::attempt::{self, Answer, Caller, Failed};
use super::stream;
use crate::shared::Shared;

/// Longest plain answer that is read whole before its caller gets it, so that a broken one can be asked for again.
const HELD_BYTES: usize = 1024 * 1024;
/// Time between two looks for the first configuration.
const CONFIGURED_PERIOD: Duration = Duration::from_millis(10);
/// Time for a request's body to arrive where the caller names no deadline.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Answers callers.
#[derive(Clone, Debug)]
pub struct Front {
    shared: Rc<Shared>,
}

/// Counts a request as under way until it is dropped.
#[derive(Debug)]
pub(super) struct Open(Rc<Shared>);

impl Open {
    fn new(shared: &Rc<Shared>) -> Self {
        shared.open.set(shared.open.get() + 1);
        Self(shared.clone())
    }
}

impl Drop for Open {
    fn drop(&mut self) {
        self.0.open.set(self.0.open.get().saturating_sub(1));
    }
}

impl Front {
    /// Answers callers by a router's decisions.
    pub fn new(shared: Rc<Shared>) -> Self {
        Self { shared }
    }

    /// Answers one request.
    pub async fn answer(
        self,
        request: http::Request<Incoming>,
        peer: SocketAddr,
    ) -> Response<Body> {
        let received = Instant::now();
        let open = Open::new(&self.shared);
        let (parts, body) = request.into_parts();
        let mut response = match platform::request::decode(&parts, received) {
            Ok(head) => {
                let request = Request::new(head);
                self.take(request, parts, (body, peer), open).await
            }
            Err(fault) => {
                log::debug!("request of {peer}: {fault}");
                let mut response = Response::new(Body::full(fault.to_string()));
                *response.status_mut() = StatusCode::BAD_REQUEST;
                response
            }
        };
        if self.shared.is_draining() {
            platform::answer::close(&mut response);
        }
        response
    }

    /// Reads the body, and serves the request or refuses it.
    async fn take(
        &self,
        request: Request<Received>,
        parts: http::request::Parts,
        (body, peer): (Incoming, SocketAddr),
        open: Open,
    ) -> Response<Body> {
        let id = request.head().id.clone();
        let received = request.head().received_at;
        let served = match self.read(&request, body, peer).await {
            Ok(body) => self.serve(request, Caller { parts, body }, open).await,
            Err(refusal) => Err(refusal),
        };
        served.unwrap_or_else(|refusal| {
            self.shared
                .ask(|router, _| router.on_refused(&id, &refusal));
            let response = platform::answer::refuse(&refusal);
            let status = response.status().as_u16();
            self.shared.metrics.answered("-", status, received);
            response
        })
    }

    async fn read(
        &self,
        request: &Request<Received>,
        body: Incoming,
        peer: SocketAddr,
    ) -> Result<Bytes, Refusal> {
        if body.is_end_stream() {
            return Ok(Bytes::new());
        }
        let head = request.head();
        let deadline = head.deadline.unwrap_or(head.received_at + BODY_TIMEOUT);
        let limit = self.limits().max_body_bytes;
        let refuse = |error: Error| {
            log::debug!("request {}: {error}", head.id);
            let code = match error.cause {
                Cause::TooLong(_) => Code::BodyTooLarge,
                Cause::Deadline => Code::BodyTimeout,
                _ => Code::BadRequest,
            };
            Refusal::not_run(request, code)
        };
        if body.size_hint().lower() > limit as u64 {
            return Err(Refusal::not_run(request, Code::BodyTooLarge));
        }
        read_all(peer, body, limit, deadline).await.map_err(refuse)
    }

    fn limits(&self) -> Limits {
        let router = self.shared.router.borrow();
        let configuration = router.state().configuration.active();
        configuration.map_or_else(Limits::default, |it| it.limits)
    }

    /// Waits for the first configuration of an entry that has just started.
    async fn configured(&self, received: Instant) {
        let until = || {
            let router = self.shared.router.borrow();
            router.state().lifecycle.configuration_wait_ends(received)
        };
        while until().is_some_and(|until| until > Instant::now()) {
            compio::time::sleep(CONFIGURED_PERIOD).await;
        }
    }

    async fn serve(
        &self,
        request: Request<Received>,
        caller: Caller,
        open: Open,
    ) -> Result<Response<Body>, Refusal> {
        let shared = &self.shared;
        self.configured(request.head().received_at).await;
        let routed = shared.ask(|router, now| router.admit(now, request))?;
        let mut returned = Returned::Planned(routed);
        // The last answer by which an upstream said that it failed.
        let mut failure = None;
        loop {
            let placed = match attempt::place(shared, returned).await {
                Ok(placed) => placed,
                Err(refusal) => return failure.ok_or(refusal),
            };
            let failed = match attempt::send(shared, &caller, placed).await {
                Ok(answer) if is_stream(&answer) => match stream::begin(shared, answer).await {
                    Ok(begun) => return Ok(begun.forward(caller, open)),
                    Err(failed) => failed,
                },
                Ok(answer) => match self.whole(answer).await {
                    Ok(response) => return Ok(response),
                    Err((failed, answer)) => {
                        failure = answer.or(failure);
                        failed
                    }
                },
                Err(failed) => failed,
            };
            returned = match failed {
                Failed::Again(returned) => returned,
                Failed::Refused(refusal) => return failure.ok_or(refusal),
            };
        }
    }

    /// Reads a plain answer whole. One by which the upstream says that it failed is given up for another try, if there can
    /// be one, and comes back beside it.
    async fn whole(
        &self,
        answer: Answer,
    ) -> Result<Response<Body>, (Failed, Option<Response<Body>>)> {
        let shared = &self.shared;
        let Answer {
            flight,
            parts,
            reader,
            verdict,
        } = answer;
        let deadline = flight.request.stage().plan().deadline;
        let body = match reader.whole(HELD_BYTES, deadline).await {
            Ok(body) => body,
            Err(error) => {
                log::debug!("answer: {error}");
                let is_silent = error.is_deadline();
                let fault = if is_silent {
                    Fault::TimedOut
                } else {
                    Fault::Truncated
                };
                return Err((attempt::fail(shared, flight, fault), None));
            }
        };
        let response = platform::answer::forward(&parts, Body::full(body));
        let can_repeat = || shared.ask(|router, now| router.may_retry(now, &flight.request));
        if verdict == Verdict::Failed && can_repeat() {
            return Err((attempt::fail(shared, flight, Fault::Failed), Some(response)));
        }
        let request = flight.end();
        let (head, stage) = (request.head(), request.stage());
        let route = &stage.plan().route;
        let status = parts.status.as_u16();
        shared.metrics.answered(&route.id, status, head.received_at);
        shared.metrics.finished(&route.id, head.received_at);
        let end = Completion {
            is_success: verdict == Verdict::Forward,
            first_event_after: None,
            service_time: (verdict == Verdict::Forward).then(|| stage.sent_at.elapsed()),
        };
        shared.ask(|router, now| router.on_finished(now, &request, end));
        Ok(response)
    }
}

fn is_stream(answer: &Answer) -> bool {
    let is_streaming = answer.flight.request.stage().plan().route.is_streaming;
    is_streaming && answer.parts.status.is_success()
}
