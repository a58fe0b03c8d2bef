use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use comfreyroad_net::body::Body;
use comfreyroad_net::client::{Cause, Error, Reader};
use comfreyroad_platform as platform;
use comfreyroad_router::answer::Completion;
use comfreyroad_router::answer::{Fault, Verdict};
use comfreyroad_router::configuration::Limits;
use comfreyroad_router::refusal::Code;
use comfreyroad_router::request::{Received, Returned};
use comfreyroad_router::{Refusal, Request};
use futures_util::future::Abortable;
use http::{Response, StatusCode};
use hyper::body::{Body as _, Incoming};

use super::attempt::{self, Failure, Message};
use super::memory::Share;
use super::stream;
use crate::shared::Shared;

/// Size up to which a response without streaming is buffered before it is forwarded, so that a truncated one can be
/// retried.
const MAX_BUFFERED_BYTES: usize = 1024 * 1024;
/// Interval of checks for the first configuration.
const CONFIGURATION_CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// Timeout for receiving a request's body if the caller sets no deadline.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Handles requests of callers.
#[derive(Clone, Debug)]
pub struct Front {
    shared: Rc<Shared>,
}

impl Front {
    /// Creates a handler that follows the shared router's decisions.
    pub fn new(shared: Rc<Shared>) -> Self {
        Self { shared }
    }

    /// Handles one request.
    pub async fn handle(
        self,
        request: http::Request<Incoming>,
        peer: SocketAddr,
    ) -> Response<Body> {
        let received = Instant::now();
        let (parts, body) = request.into_parts();
        let mut response = match platform::request::decode(&parts, received) {
            Ok(head) => {
                let request = Request::new(head);
                self.serve_or_refuse(request, parts, (body, peer)).await
            }
            Err(error) => {
                log::debug!("invalid request of {peer}: {error}");
                let mut response = Response::new(Body::full(error.to_string()));
                *response.status_mut() = StatusCode::BAD_REQUEST;
                response
            }
        };
        if self.shared.is_draining() {
            platform::response::set_connection_close(&mut response);
        }
        response
    }

    /// Reads the body and serves the request, or responds with a refusal.
    async fn serve_or_refuse(
        &self,
        request: Request<Received>,
        parts: http::request::Parts,
        (body, peer): (Incoming, SocketAddr),
    ) -> Response<Body> {
        let id = request.head().id.clone();
        let (registration, aborted) = self.shared.registry.register(&id);
        let received = request.head().received_at;
        let was_sent = registration.was_sent();
        let not_run = Refusal::not_run(&request, Code::Stopping);
        let may_have_run = Refusal::may_have_run(&request, Code::Stopping);
        let served = async {
            let (body, memory) = self.read_body(&request, body, peer).await?;
            let message = Message {
                parts,
                body,
                _memory: memory,
                registration,
            };
            self.serve(request, message).await
        };
        let served = Abortable::new(served, aborted).await.unwrap_or_else(|_| {
            let refusal = if was_sent.get() {
                may_have_run
            } else {
                not_run.with_retry_after(Duration::ZERO)
            };
            Err(refusal)
        });
        served.unwrap_or_else(|refusal| {
            self.shared
                .with_router(|router, _| router.on_refused(&id, &refusal));
            let response = platform::response::encode_refusal(&refusal);
            let status = response.status().as_u16();
            self.shared
                .metrics
                .count_response_start("-", status, received);
            response
        })
    }

    async fn read_body(
        &self,
        request: &Request<Received>,
        body: Incoming,
        peer: SocketAddr,
    ) -> Result<(Bytes, Share), Refusal> {
        let mut memory = self.shared.memory.share();
        if body.is_end_stream() {
            return Ok((Bytes::new(), memory));
        }
        let head = request.head();
        let deadline = head.deadline.unwrap_or(head.received_at + BODY_TIMEOUT);
        let limit = self.limits().max_body_bytes;
        let refusal = |error: Error| {
            log::debug!("cannot read body of request {}: {error}", head.id);
            let code = match error.cause {
                Cause::TooLong(_) => Code::BodyTooLarge,
                Cause::Deadline => Code::BodyTimeout,
                Cause::Memory => Code::Overloaded,
                _ => Code::BadRequest,
            };
            Refusal::not_run(request, code)
        };
        if body.size_hint().lower() > limit as u64 {
            return Err(Refusal::not_run(request, Code::BodyTooLarge));
        }
        let reader = Reader::new(peer, body);
        let admit = |length| memory.extend_to(length);
        let body = reader.read_admitted(limit, deadline, admit).await;
        Ok((body.map_err(refusal)?, memory))
    }

    fn limits(&self) -> Limits {
        let router = self.shared.router.borrow();
        let configuration = router.state().configuration.active();
        configuration.map_or_else(Limits::default, |it| it.limits)
    }

    /// Waits a short time for the first configuration if the entry has just started.
    async fn wait_for_configuration(&self, received: Instant) {
        let until = || {
            let router = self.shared.router.borrow();
            router.state().lifecycle.configuration_wait_ends(received)
        };
        while until().is_some_and(|until| until > Instant::now()) {
            compio::time::sleep(CONFIGURATION_CHECK_INTERVAL).await;
        }
    }

    async fn serve(
        &self,
        request: Request<Received>,
        caller: Message,
    ) -> Result<Response<Body>, Refusal> {
        let shared = &self.shared;
        self.wait_for_configuration(request.head().received_at)
            .await;
        let planned = shared.with_router(|router, now| router.admit(now, request))?;
        let mut placed = attempt::place(shared, Returned::Planned(planned)).await?;
        // The last response in which an upstream reports a failure; forwarded if no other attempt succeeds.
        let mut failure_response = None;
        loop {
            let failure = match attempt::send(shared, &caller, placed).await {
                Ok(response) if is_event_stream(&response) => {
                    match stream::start(shared, response).await {
                        Ok(started) => return Ok(started.forward(caller)),
                        Err(failure) => failure,
                    }
                }
                Ok(response) => match self.buffer(response).await {
                    Ok(response) => return Ok(response),
                    Err((failure, response)) => {
                        failure_response = response.or(failure_response);
                        failure
                    }
                },
                Err(failure) => failure,
            };
            placed = match attempt::place_again(shared, failure).await {
                Ok(placed) => placed,
                Err(refusal) => return failure_response.ok_or(refusal),
            };
        }
    }

    /// Reads a response without streaming to its end before it is forwarded. If the upstream reports a failure and the
    /// request may be retried, the response is returned with the failure, for the case that no retry succeeds.
    async fn buffer(
        &self,
        response: attempt::Response,
    ) -> Result<Response<Body>, (Failure, Option<Response<Body>>)> {
        let shared = &self.shared;
        let attempt::Response {
            call,
            parts,
            reader,
            verdict,
        } = response;
        let deadline = call.request.stage().plan().deadline;
        let mut memory = shared.memory.share();
        let admit = |length| memory.extend_to(length);
        let body = match reader
            .read_admitted(MAX_BUFFERED_BYTES, deadline, admit)
            .await
        {
            Ok(body) => body,
            Err(error) => {
                log::debug!("cannot read response body: {error}");
                let is_timeout = error.is_timeout();
                let fault = if is_timeout {
                    Fault::TimedOut
                } else {
                    Fault::Truncated
                };
                return Err((attempt::fail(shared, call, fault), None));
            }
        };
        let response = platform::response::forward(&parts, Body::full(body));
        let may_retry = || shared.with_router(|router, now| router.may_retry(now, &call.request));
        if verdict == Verdict::Failed && may_retry() {
            return Err((attempt::fail(shared, call, Fault::Failed), Some(response)));
        }
        let request = call.end();
        let (head, stage) = (request.head(), request.stage());
        let route = &stage.plan().route;
        let status = parts.status.as_u16();
        shared
            .metrics
            .count_response_start(&route.id, status, head.received_at);
        shared
            .metrics
            .observe_response_end(&route.id, head.received_at);
        let completion = Completion {
            is_success: verdict == Verdict::Forward,
            events: 0,
            first_event_after: None,
            service_time: (verdict == Verdict::Forward).then(|| stage.sent_at.elapsed()),
        };
        shared.with_router(|router, now| router.on_finished(now, &request, completion));
        Ok(response)
    }
}

fn is_event_stream(response: &attempt::Response) -> bool {
    let is_streaming = response.call.request.stage().plan().route.is_streaming;
    is_streaming && response.parts.status.is_success()
}
