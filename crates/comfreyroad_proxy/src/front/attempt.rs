//! One sending of a request to an upstream.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use comfreyroad_net::client::{Reader, Sent as Reached};
use comfreyroad_platform as platform;
use comfreyroad_router::answer::{Fault, Verdict};
use comfreyroad_router::filter::place::NotPlaced;
use comfreyroad_router::request::{Placed, Rejection, Returned, Unplaced};
use comfreyroad_router::{Refusal, Request};
use http::request::Parts;
use hyper::body::Incoming;

use super::flight::Flight;
use crate::shared::Shared;

/// Time between two looks for a place.
const PLACE_PERIOD: Duration = Duration::from_millis(10);

/// A caller's request as it came, to be sent as often as needed.
#[derive(Debug)]
pub(super) struct Caller {
    pub(super) parts: Parts,
    pub(super) body: Bytes,
}

/// An upstream's answer whose head has come.
#[derive(Debug)]
pub(super) struct Answer {
    pub(super) flight: Flight,
    pub(super) parts: http::response::Parts,
    pub(super) reader: Reader,
    pub(super) verdict: Verdict,
}

/// What became of a sending that brought no answer.
#[derive(Debug)]
pub(super) enum Failed {
    /// It goes on.
    Again(Returned),
    /// It is over.
    Refused(Refusal),
}

/// Waits for a place.
pub(super) async fn place(
    shared: &Rc<Shared>,
    returned: Returned,
) -> Result<Request<Placed>, Refusal> {
    match returned {
        Returned::Planned(request) => place_as(shared, request).await,
        Returned::Retrying(request) => place_as(shared, request).await,
    }
}

async fn place_as<S: Unplaced>(
    shared: &Rc<Shared>,
    mut request: Request<S>,
) -> Result<Request<Placed>, Refusal> {
    loop {
        request = match shared.ask(|router, now| router.place(now, request)) {
            Ok(placed) => return Ok(placed),
            Err(NotPlaced::Refuse(refusal)) => return Err(refusal),
            Err(NotPlaced::Wait(request, until)) => {
                compio::time::sleep_until(until.min(Instant::now() + PLACE_PERIOD)).await;
                request
            }
        };
    }
}

/// Sends a placed request and waits for the head of its answer.
pub(super) async fn send(
    shared: &Rc<Shared>,
    caller: &Caller,
    placed: Request<Placed>,
) -> Result<Answer, Failed> {
    let sent = shared.ask(|router, now| router.send(now, placed));
    let patience = shared.ask(|router, now| router.response_deadline(now, &sent));
    let flight = Flight::new(shared, sent);
    let address = match flight.request.stage().slot.address.parse() {
        Ok(address) => address,
        Err(error) => {
            log::warn!("upstream's address: {error}");
            return Err(reject(shared, flight, Rejection::NotSent));
        }
    };
    let (parts, body) = (&caller.parts, &caller.body);
    let request = platform::request::encode(parts, body, &flight.request, Instant::now());
    match shared.upstreams.call(address, request, patience).await {
        Ok(response) => judge(shared, flight, response, address),
        Err(error) => {
            log::debug!("upstream: {error}");
            Err(match error.sent {
                Reached::No => reject(shared, flight, Rejection::NotSent),
                Reached::Maybe if error.is_deadline() => {
                    shared.upstreams.forget(address);
                    fail(shared, flight, Fault::TimedOut)
                }
                Reached::Maybe => fail(shared, flight, Fault::Broken),
            })
        }
    }
}

fn judge(
    shared: &Rc<Shared>,
    flight: Flight,
    response: http::Response<Incoming>,
    address: SocketAddr,
) -> Result<Answer, Failed> {
    let (parts, body) = response.into_parts();
    let head = platform::answer::decode(&parts, Instant::now());
    match shared.ask(|router, now| router.judge_answer(now, &flight.request, &head)) {
        Verdict::Rejected(rejection) => Err(reject(shared, flight, rejection)),
        Verdict::LowConfidence => Err(step_up(shared, flight)),
        Verdict::Unusable(fault) => Err(fail(shared, flight, fault)),
        verdict => Ok(Answer {
            flight,
            parts,
            reader: Reader::new(address, body),
            verdict,
        }),
    }
}

/// The upstream has not run the request.
fn reject(shared: &Rc<Shared>, flight: Flight, rejection: Rejection) -> Failed {
    let request = flight.end();
    Failed::Again(shared.ask(|router, now| router.on_rejected(now, request, rejection)))
}

/// A larger model is to answer. The answer of the small one is dropped with its connection.
fn step_up(shared: &Rc<Shared>, flight: Flight) -> Failed {
    let request = flight.end();
    match shared.ask(|router, _| router.escalate(request)) {
        Ok(request) => Failed::Again(Returned::Retrying(request)),
        Err(refusal) => Failed::Refused(refusal),
    }
}

/// The upstream may have run the request.
pub(super) fn fail(shared: &Rc<Shared>, flight: Flight, fault: Fault) -> Failed {
    let request = flight.end();
    match shared.ask(|router, now| router.on_failed(now, request, fault)) {
        Ok(request) => Failed::Again(Returned::Retrying(request)),
        Err(refusal) => Failed::Refused(refusal),
    }
}
