//! Streams of events: passed on as they come, and gone on with from another upstream where one breaks.

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

use super::attempt::{self, Answer, Caller, Failed};
use super::events::Events;
use super::flight::Flight;
use super::front::Open;
use crate::clock;
use crate::shared::Shared;

/// A stream whose first event has come.
#[derive(Debug)]
pub(super) struct Begun {
    shared: Rc<Shared>,
    flight: Flight,
    parts: http::response::Parts,
    events: Events,
    first: Option<Event>,
}

/// Waits for the first event of a stream.
pub(super) async fn begin(shared: &Rc<Shared>, answer: Answer) -> Result<Begun, Failed> {
    let Answer {
        flight,
        parts,
        reader,
        ..
    } = answer;
    let after = flight.request.stage().plan().last_event_id;
    let patience = shared.ask(|router, now| router.response_deadline(now, &flight.request));
    let mut events = Events::new(reader, after);
    match events.next(patience).await {
        Ok(first) => {
            shared.ask(|router, now| router.on_first_event(now, &flight.request));
            Ok(Begun {
                shared: shared.clone(),
                flight,
                parts,
                events,
                first,
            })
        }
        Err(fault) => Err(attempt::fail(shared, flight, fault)),
    }
}

impl Begun {
    /// The answer for the caller; a task goes on with its events.
    pub(super) fn forward(self, caller: Caller, open: Open) -> Response<Body> {
        let (sender, body) = Body::channel();
        let response = platform::answer::forward(&self.parts, body);
        let request = &self.flight.request;
        let route = &request.stage().plan().route;
        let status = self.parts.status.as_u16();
        let metrics = &self.shared.metrics;
        metrics.answered(&route.id, status, request.head().received_at);
        let pump = Pump {
            shared: self.shared,
            caller,
            sender,
            _open: open,
        };
        compio::runtime::spawn(pump.run(self.flight, self.events, self.first)).detach();
        response
    }
}

/// Passes events on to a caller.
#[derive(Debug)]
struct Pump {
    shared: Rc<Shared>,
    caller: Caller,
    sender: Sender,
    _open: Open,
}

/// Why a stream ends before it is whole.
enum Stop {
    /// The caller has left.
    Gone,
    /// Nothing can go on with it.
    Broken(Refusal),
}

impl Pump {
    async fn run(self, flight: Flight, events: Events, first: Option<Event>) {
        let id = flight.request.head().id.clone();
        match self.pass(flight, events, first).await {
            Ok(()) => self.sender.finish(),
            Err(Stop::Gone) => {}
            // Dropping the sender breaks the connection, so that nobody takes a part for the whole.
            Err(Stop::Broken(refusal)) => {
                self.shared
                    .ask(|router, _| router.on_broken_off(&id, &refusal));
            }
        }
    }

    /// Passes events on until the end of the stream.
    async fn pass(
        &self,
        mut flight: Flight,
        mut events: Events,
        first: Option<Event>,
    ) -> Result<(), Stop> {
        let mut next = first;
        loop {
            let Some(event) = next else {
                self.finish(flight, &events);
                return Ok(());
            };
            self.deliver(&mut flight, event).await?;
            let limit = self.pause(&flight);
            next = match self.unless_gone(events.next(limit)).await? {
                Ok(next) => next,
                Err(fault) => {
                    let resumed = self.unless_gone(self.resume(flight, fault)).await?;
                    let begun = resumed.map_err(Stop::Broken)?;
                    (flight, events) = (begun.flight, begun.events);
                    begun.first
                }
            };
        }
    }

    /// Until when the next event is waited for.
    fn pause(&self, flight: &Flight) -> Instant {
        let router = self.shared.router.borrow();
        router.next_event_deadline(clock::now(), &flight.request)
    }

    async fn deliver(&self, flight: &mut Flight, event: Event) -> Result<(), Stop> {
        let sent = self.sender.send(event.bytes).await;
        sent.map_err(|_| Stop::Gone)?;
        if let Some(id) = event.id {
            self.shared
                .ask(|router, _| router.on_event_delivered(&mut flight.request, id));
        }
        Ok(())
    }

    async fn unless_gone<T>(&self, future: impl Future<Output = T>) -> Result<T, Stop> {
        let (closed, future) = (pin!(self.sender.closed()), pin!(future));
        match select(closed, future).await {
            Either::Left(_) => Err(Stop::Gone),
            Either::Right((output, _)) => Ok(output),
        }
    }

    /// Goes on after the last event that was delivered.
    async fn resume(&self, flight: Flight, fault: Fault) -> Result<Begun, Refusal> {
        let shared = &self.shared;
        let mut failed = attempt::fail(shared, flight, fault);
        loop {
            let returned = match failed {
                Failed::Again(returned) => returned,
                Failed::Refused(refusal) => return Err(refusal),
            };
            let placed = attempt::place(shared, returned).await?;
            failed = match attempt::send(shared, &self.caller, placed).await {
                Ok(answer) if answer.parts.status.is_success() => {
                    match begin(shared, answer).await {
                        Ok(begun) => {
                            let request = &begun.flight.request;
                            shared.ask(|router, _| router.on_resumed(request));
                            return Ok(begun);
                        }
                        Err(failed) => failed,
                    }
                }
                Ok(answer) => attempt::fail(shared, answer.flight, Fault::Failed),
                Err(failed) => failed,
            };
        }
    }

    fn finish(&self, flight: Flight, events: &Events) {
        let request = flight.end();
        let route = &request.stage().plan().route;
        self.shared
            .metrics
            .finished(&route.id, request.head().received_at);
        let end = Completion {
            is_success: true,
            first_event_after: events.first_after(request.stage().sent_at),
            service_time: events.pace(),
        };
        self.shared
            .ask(|router, now| router.on_finished(now, &request, end));
    }
}
