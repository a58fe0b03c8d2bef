//! Forwards event streams as they arrive, and resumes a broken stream from another upstream.

use std::pin::pin;
use std::rc::Rc;
use std::time::Instant;

use comfreyroad_net::body::{Body, Sender};
use comfreyroad_platform as platform;
use comfreyroad_router::Refusal;
use comfreyroad_router::answer::Completion;
use comfreyroad_router::answer::Fault;
use comfreyroad_wire::sse::Event;
use futures_util::future::{Either, select};
use http::Response;

use super::attempt::{self, AttemptFailure, CallerRequest, UpstreamResponse};
use super::event_stream::EventStream;
use super::front::OpenRequest;
use super::in_flight::InFlight;
use crate::clock;
use crate::shared::Shared;

/// An event stream whose first event has arrived.
#[derive(Debug)]
pub(super) struct StartedStream {
    shared: Rc<Shared>,
    in_flight: InFlight,
    parts: http::response::Parts,
    events: EventStream,
    first: Option<Event>,
}

/// Waits for the first event of a stream.
pub(super) async fn start(
    shared: &Rc<Shared>,
    response: UpstreamResponse,
) -> Result<StartedStream, AttemptFailure> {
    let UpstreamResponse {
        in_flight,
        parts,
        reader,
        ..
    } = response;
    let after = in_flight.request.stage().plan().last_event_id;
    let deadline =
        shared.with_router(|router, now| router.response_deadline(now, &in_flight.request));
    let mut events = EventStream::new(reader, after);
    match events.next(deadline).await {
        Ok(first) => {
            shared.with_router(|router, now| router.on_first_event(now, &in_flight.request));
            Ok(StartedStream {
                shared: shared.clone(),
                in_flight,
                parts,
                events,
                first,
            })
        }
        Err(fault) => Err(attempt::fail(shared, in_flight, fault)),
    }
}

impl StartedStream {
    /// Returns the response for the caller, and spawns a task that forwards the events.
    pub(super) fn forward(self, caller: CallerRequest, open: OpenRequest) -> Response<Body> {
        let (sender, body) = Body::channel();
        let response = platform::answer::forward(&self.parts, body);
        let request = &self.in_flight.request;
        let route = &request.stage().plan().route;
        let status = self.parts.status.as_u16();
        let metrics = &self.shared.metrics;
        metrics.count_response_start(&route.id, status, request.head().received_at);
        let forwarder = Forwarder {
            shared: self.shared,
            caller,
            sender,
            _open_request: open,
        };
        compio::runtime::spawn(forwarder.run(self.in_flight, self.events, self.first)).detach();
        response
    }
}

/// Forwards events to a caller.
#[derive(Debug)]
struct Forwarder {
    shared: Rc<Shared>,
    caller: CallerRequest,
    sender: Sender,
    _open_request: OpenRequest,
}

/// Why forwarding stops before the end of a stream.
enum Stop {
    /// The caller has closed the connection.
    CallerGone,
    /// The stream broke and cannot be resumed.
    Broken(Refusal),
}

impl Forwarder {
    async fn run(self, in_flight: InFlight, events: EventStream, first: Option<Event>) {
        let id = in_flight.request.head().id.clone();
        match self.forward(in_flight, events, first).await {
            Ok(()) => self.sender.finish(),
            Err(Stop::CallerGone) => {}
            // Dropping the sender aborts the connection, so that the caller does not take the stream for complete.
            Err(Stop::Broken(refusal)) => {
                self.shared
                    .with_router(|router, _| router.on_broken_off(&id, &refusal));
            }
        }
    }

    /// Forwards events until the end of the stream.
    async fn forward(
        &self,
        mut in_flight: InFlight,
        mut events: EventStream,
        first: Option<Event>,
    ) -> Result<(), Stop> {
        let mut next = first;
        loop {
            let Some(event) = next else {
                self.finish(in_flight, &events);
                return Ok(());
            };
            self.deliver(&mut in_flight, event).await?;
            let deadline = self.next_event_deadline(&in_flight);
            next = match self.until_caller_gone(events.next(deadline)).await? {
                Ok(next) => next,
                Err(fault) => {
                    let resumed = self
                        .until_caller_gone(self.resume(in_flight, fault))
                        .await?;
                    let started = resumed.map_err(Stop::Broken)?;
                    (in_flight, events) = (started.in_flight, started.events);
                    started.first
                }
            };
        }
    }

    /// When waiting for the next event times out.
    fn next_event_deadline(&self, in_flight: &InFlight) -> Instant {
        let router = self.shared.router.borrow();
        router.next_event_deadline(clock::now(), &in_flight.request)
    }

    async fn deliver(&self, in_flight: &mut InFlight, event: Event) -> Result<(), Stop> {
        let sent = self.sender.send(event.bytes).await;
        sent.map_err(|_| Stop::CallerGone)?;
        if let Some(id) = event.id {
            self.shared
                .with_router(|router, _| router.on_event_delivered(&mut in_flight.request, id));
        }
        Ok(())
    }

    /// Runs `future`; fails if the caller closes the connection first.
    async fn until_caller_gone<T>(&self, future: impl Future<Output = T>) -> Result<T, Stop> {
        let (closed, future) = (pin!(self.sender.closed()), pin!(future));
        match select(closed, future).await {
            Either::Left(_) => Err(Stop::CallerGone),
            Either::Right((output, _)) => Ok(output),
        }
    }

    /// Resumes the stream after the last delivered event.
    async fn resume(&self, in_flight: InFlight, fault: Fault) -> Result<StartedStream, Refusal> {
        let shared = &self.shared;
        let mut failure = attempt::fail(shared, in_flight, fault);
        loop {
            let returned = match failure {
                AttemptFailure::Retry(returned) => returned,
                AttemptFailure::Refused(refusal) => return Err(refusal),
            };
            let placed = attempt::place(shared, returned).await?;
            failure = match attempt::send(shared, &self.caller, placed).await {
                Ok(response) if response.parts.status.is_success() => {
                    match start(shared, response).await {
                        Ok(started) => {
                            let request = &started.in_flight.request;
                            shared.with_router(|router, _| router.on_resumed(request));
                            return Ok(started);
                        }
                        Err(failure) => failure,
                    }
                }
                Ok(response) => attempt::fail(shared, response.in_flight, Fault::Failed),
                Err(failure) => failure,
            };
        }
    }

    fn finish(&self, in_flight: InFlight, events: &EventStream) {
        let request = in_flight.end();
        let route = &request.stage().plan().route;
        self.shared
            .metrics
            .observe_response_end(&route.id, request.head().received_at);
        let completion = Completion {
            is_success: true,
            first_event_after: events.time_to_first(request.stage().sent_at),
            service_time: events.mean_gap(),
        };
        self.shared
            .with_router(|router, now| router.on_finished(now, &request, completion));
    }
}
