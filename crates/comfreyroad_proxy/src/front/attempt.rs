//! One attempt: a request is placed at an upstream, sent, and the response headers are checked.

use std::cell::Cell;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Instant;

use bytes::Bytes;
use comfreyroad_net::client::{Deadlines, Origin, Reader, Reuse, Sent as PeerSaw};
use comfreyroad_platform as platform;
use comfreyroad_router::answer::{Fault, Verdict};
use comfreyroad_router::filter::place::Backpressure;
use comfreyroad_router::request::{Placed, Rejection, Returned, Unplaced};
use comfreyroad_router::{Refusal, Request};
use compio::time::timeout_at;
use http::request::Parts;
use hyper::body::Incoming;

use super::call::Call;
use super::memory::Share;
use super::registration::Registration;
use crate::shared::Shared;

/// A caller's request as received, kept so that it can be sent more than once.
#[derive(Debug)]
pub(super) struct Message {
    pub(super) parts: Parts,
    pub(super) body: Bytes,
    // Of the body.
    pub(super) _memory: Share,
    pub(super) registration: Registration,
}

/// An upstream's response whose status and headers have arrived.
#[derive(Debug)]
pub(super) struct Response {
    pub(super) call: Call,
    pub(super) parts: http::response::Parts,
    pub(super) reader: Reader,
    pub(super) verdict: Verdict,
}

/// What follows a failed attempt.
#[derive(Debug)]
pub(super) enum Failure {
    /// The request is to be placed again.
    Retry(Returned),
    /// The request was moved to another upstream, to which it is to be sent.
    Moved(Request<Placed>),
    /// The request is refused.
    Refused(Refusal),
}

/// Places a request at an upstream, waiting for a free slot where needed.
pub(super) async fn place(
    shared: &Rc<Shared>,
    returned: Returned,
) -> Result<Request<Placed>, Refusal> {
    match returned {
        Returned::Planned(request) => place_stage(shared, request).await,
        Returned::Retrying(request) => place_stage(shared, request).await,
    }
}

async fn place_stage<S: Unplaced>(
    shared: &Rc<Shared>,
    mut request: Request<S>,
) -> Result<Request<Placed>, Refusal> {
    loop {
        request = match shared.with_router(|router, now| router.place(now, request)) {
            Ok(placed) => return Ok(placed),
            Err(Backpressure::Refuse(refusal)) => return Err(refusal),
            Err(Backpressure::Wait(request, again_at)) => {
                compio::time::sleep_until(again_at).await;
                request
            }
        };
    }
}

/// Places a request for its next attempt.
pub(super) async fn place_again(
    shared: &Rc<Shared>,
    failure: Failure,
) -> Result<Request<Placed>, Refusal> {
    match failure {
        Failure::Retry(returned) => place(shared, returned).await,
        Failure::Moved(placed) => Ok(placed),
        Failure::Refused(refusal) => Err(refusal),
    }
}

/// Sends a placed request and waits for the response headers.
pub(super) async fn send(
    shared: &Rc<Shared>,
    caller: &Message,
    placed: Request<Placed>,
) -> Result<Response, Failure> {
    let sent = shared.with_router(|router, now| router.send(now, placed));
    caller
        .registration
        .record_upstream(&sent.stage().slot.upstream);
    exchange(shared, caller, Call::new(shared, sent)).await
}

/// Sends a request that is offered to an upstream. It has another one until `is_taken`, and the attempt may be dropped.
pub(super) async fn offer(
    shared: &Rc<Shared>,
    caller: &Message,
    placed: Request<Placed>,
    is_taken: Rc<Cell<bool>>,
) -> Result<Response, Failure> {
    let sent = shared.with_router(|router, now| router.send(now, placed));
    exchange(shared, caller, Call::offered(shared, sent, is_taken)).await
}

async fn exchange(
    shared: &Rc<Shared>,
    caller: &Message,
    mut call: Call,
) -> Result<Response, Failure> {
    let mut silent_at = shared.router.borrow().response_deadline(&call.request);
    let address = match call.request.stage().slot.address.parse() {
        Ok(address) => address,
        Err(error) => {
            log::warn!("invalid address of an upstream: {error}");
            return Err(reject(shared, call, Rejection::NotSent));
        }
    };
    let (parts, body) = (&caller.parts, &caller.body);
    let request = platform::request::encode(parts, body, &call.request, Instant::now());
    let deadlines = Deadlines {
        connect: silent_at,
        response: call.request.stage().plan().deadline,
    };
    let origin = if call.request.stage().needs_new_connection() {
        Origin::New
    } else {
        Origin::Pool
    };
    let client = &shared.upstreams;
    let mut response = pin!(client.call_within(address, request, deadlines, origin));
    let result = loop {
        match timeout_at(silent_at, response.as_mut()).await {
            Ok(result) => break result,
            Err(_) => match on_fault(shared, call, Fault::TimedOut) {
                Ok(waiting) => (call, silent_at) = waiting,
                Err(failure) => {
                    shared.upstreams.close_idle(address);
                    return Err(failure);
                }
            },
        }
    };
    match result {
        Ok(response) => check_response(shared, call, response, address),
        Err(error) => {
            log::debug!("call to an upstream failed: {error}");
            Err(match error.sent {
                PeerSaw::No => reject(shared, call, Rejection::NotSent),
                PeerSaw::Maybe if error.is_timeout() => {
                    shared.upstreams.close_idle(address);
                    fail(shared, call, Fault::TimedOut)
                }
                PeerSaw::Maybe => fail(shared, call, Fault::Broken),
            })
        }
    }
}

fn check_response(
    shared: &Rc<Shared>,
    call: Call,
    response: http::Response<Incoming>,
    address: SocketAddr,
) -> Result<Response, Failure> {
    let (parts, body) = response.into_parts();
    let head = platform::response::decode(&parts, Instant::now());
    if head.request_id.as_ref() != Some(&call.request.head().id)
        && let Some(reuse) = parts.extensions.get::<Reuse>()
    {
        // The answer to this request may still come.
        reuse.forbid();
    }
    match shared.with_router(|router, now| router.judge_answer(now, &call.request, &head)) {
        Verdict::Rejected(rejection) => Err(reject(shared, call, rejection)),
        Verdict::LowConfidence => Err(step_up(shared, call)),
        Verdict::Unusable(fault) => Err(fail(shared, call, fault)),
        verdict => Ok(Response {
            call,
            parts,
            reader: Reader::new(address, body),
            verdict,
        }),
    }
}

/// Handles an attempt that the upstream has certainly not run.
fn reject(shared: &Rc<Shared>, call: Call, rejection: Rejection) -> Failure {
    let request = call.end();
    Failure::Retry(shared.with_router(|router, now| router.on_rejected(now, request, rejection)))
}

/// Retries with a larger model. The response of the smaller one is dropped, which closes its connection.
fn step_up(shared: &Rc<Shared>, call: Call) -> Failure {
    let request = call.end();
    match shared.with_router(|router, _| router.escalate(request)) {
        Ok(request) => Failure::Retry(Returned::Retrying(request)),
        Err(refusal) => Failure::Refused(refusal),
    }
}

/// Whether the upstream may still answer in time.
pub(super) fn is_only_silent(call: &Call, fault: Fault) -> bool {
    fault.is_silence() && call.request.stage().plan().deadline > Instant::now()
}

/// Handles a fault of an attempt before its first event. If the upstream is only silent, and no other one can take over, the attempt
/// goes on; then the time is returned at which another one is looked for again.
pub(super) fn on_fault(
    shared: &Rc<Shared>,
    call: Call,
    fault: Fault,
) -> Result<(Call, Instant), Failure> {
    if !is_only_silent(&call, fault) {
        return Err(fail(shared, call, fault));
    }
    let request = call.end();
    match shared.with_router(|router, now| router.hand_over(now, request, fault)) {
        Ok(placed) => Err(Failure::Moved(placed)),
        Err(request) => {
            let search_at = shared.with_router(|router, now| router.next_search(now, &request));
            Ok((Call::new(shared, request), search_at))
        }
    }
}

/// Handles a failed attempt that the upstream may have run.
pub(super) fn fail(shared: &Rc<Shared>, call: Call, fault: Fault) -> Failure {
    let request = call.end();
    match shared.with_router(|router, now| router.on_failed(now, request, fault)) {
        Ok(request) => Failure::Retry(Returned::Retrying(request)),
        Err(refusal) => Failure::Refused(refusal),
    }
}
