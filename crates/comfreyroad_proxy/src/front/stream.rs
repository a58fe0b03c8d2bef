//! Forwards event streams as they arrive, and resumes a broken stream from another upstream.

use std::cell::Cell;
use std::pin::pin;
use std::rc::Rc;
use std::time::Instant;

use comfreyroad_net::body::{Body, Sender};
use comfreyroad_platform as platform;
use comfreyroad_router::Refusal;
use comfreyroad_router::answer::Completion;
use comfreyroad_router::answer::Fault;
use comfreyroad_router::request::Returned;
use comfreyroad_wire::sse::Event;
use futures_util::future::{Abortable, Either, select};
use http::header::CONTENT_TYPE;
use http::{HeaderValue, Response, StatusCode};

use super::attempt::{self, Failure, Message};
use super::call::Call;
use super::events::Events;
use crate::clock;
use crate::shared::Shared;

/// An event stream whose first event has arrived.
#[derive(Debug)]
pub(super) struct Stream {
    shared: Rc<Shared>,
    call: Call,
    parts: http::response::Parts,
    events: Events,
    first: Option<Event>,
}

/// Waits for the first event of a stream.
pub(super) async fn start(
    shared: &Rc<Shared>,
    response: attempt::Response,
) -> Result<Stream, Failure> {
    let attempt::Response {
        mut call,
        parts,
        reader,
        ..
    } = response;
    let after = call.request.stage().plan().last_event_id;
    let mut silent_at = shared.router.borrow().response_deadline(&call.request);
    let mut events = Events::new(reader, &parts.headers, after, shared.memory.share());
    let first = loop {
        match events.next(silent_at).await {
            Ok(first) => break first,
            Err(fault) => (call, silent_at) = attempt::on_fault(shared, call, fault)?,
        }
    };
    shared.with_router(|router, now| router.on_first_event(now, &mut call.request));
    Ok(Stream {
        shared: shared.clone(),
        call,
        parts,
        events,
        first,
    })
}

impl Stream {
    /// Returns the response for the caller, and spawns a task that forwards the events.
    pub(super) fn forward(self, caller: Message) -> Response<Body> {
        let aborted = caller.registration.record_start();
        let (sender, body) = Body::channel();
        let response = platform::response::forward(&self.parts, body);
        let request = &self.call.request;
        let route = &request.stage().plan().route;
        let status = self.parts.status.as_u16();
        let metrics = &self.shared.metrics;
        metrics.count_response_start(&route.id, status, request.head().received_at);
        let forwarder = Forwarder {
            shared: self.shared,
            format: Format::of(&self.parts),
            caller,
            sender,
        };
        let run = forwarder.run(self.call, self.events, self.first);
        compio::runtime::spawn(Abortable::new(run, aborted)).detach();
        response
    }
}

/// Forwards events to a caller.
#[derive(Debug)]
struct Forwarder {
    shared: Rc<Shared>,
    format: Format,
    caller: Message,
    sender: Sender,
}

/// What the head of a response says about its body.
#[derive(Debug, PartialEq, Eq)]
struct Format {
    status: StatusCode,
    content_type: Option<HeaderValue>,
}

impl Format {
    fn of(parts: &http::response::Parts) -> Self {
        Self {
            status: parts.status,
            content_type: parts.headers.get(CONTENT_TYPE).cloned(),
        }
    }
}

/// Why forwarding stops before the end of a stream.
enum Stop {
    /// The caller has closed the connection.
    CallerGone,
    /// The stream broke and cannot be resumed.
    Broken(Refusal),
}

impl Forwarder {
    async fn run(self, call: Call, events: Events, first: Option<Event>) {
        let id = call.request.head().id.clone();
        match self.forward(call, events, first).await {
            Ok(()) => self.sender.finish(),
            Err(Stop::CallerGone) => {}
            // Dropping the sender aborts the connection, so that the caller does not take the stream for complete.
            Err(Stop::Broken(refusal)) => {
                self.shared
                    .with_router(|router, _| router.on_aborted(&id, &refusal));
            }
        }
    }

    /// Forwards events until the end of the stream.
    async fn forward(
        &self,
        mut call: Call,
        mut events: Events,
        first: Option<Event>,
    ) -> Result<(), Stop> {
        let mut next = first;
        loop {
            let Some(event) = next else {
                self.finish(call, &events);
                return Ok(());
            };
            if !call.request.stage().has_sampled_service_time
                && let Some(pace) = events.pace()
            {
                self.shared
                    .with_router(|router, _| router.on_pace(&mut call.request, pace));
            }
            self.deliver(&mut call, event).await?;
            (call, events, next) = self.next(call, events).await?;
        }
    }

    /// Waits for the next event, from another upstream if this one fails or another one takes over.
    async fn next(
        &self,
        mut call: Call,
        mut events: Events,
    ) -> Result<(Call, Events, Option<Event>), Stop> {
        let mut silent_at = self.next_event_deadline(&call);
        let answer = loop {
            let fault = match self.until_caller_gone(events.next(silent_at)).await? {
                Ok(next) => return Ok((call, events, next)),
                Err(fault) => fault,
            };
            if !attempt::is_only_silent(&call, fault) {
                break Err(attempt::fail(&self.shared, call, fault));
            }
            let offered = self
                .shared
                .with_router(|router, now| router.offer(now, &mut call.request));
            let Some(offered) = offered else {
                silent_at = self.next_search(&call);
                continue;
            };
            let next_upstream = offered.stage().slot.upstream.clone();
            let is_taken = Rc::new(Cell::new(false));
            let attempt = attempt::offer(&self.shared, &self.caller, offered, is_taken.clone());
            let mut attempt = pin!(attempt);
            let decided_at = self.shared.router.borrow().offer_deadline(clock::now());
            let decided = {
                let event = pin!(events.next(decided_at));
                match self
                    .until_caller_gone(select(attempt.as_mut(), event))
                    .await?
                {
                    Either::Left((answer, _)) => Either::Left(answer),
                    Either::Right((event, _)) => Either::Right(event),
                }
            };
            let (answer, fault) = match decided {
                // The upstream goes on. Dropping the attempt cancels the offer.
                Either::Right(Ok(next)) => return Ok((call, events, next)),
                Either::Left(Err(Failure::Retry(declined))) => {
                    self.stay(&mut call, declined);
                    silent_at = self.next_search(&call);
                    continue;
                }
                Either::Left(answer) => (Some(answer), fault),
                Either::Right(Err(fault)) => (None, fault),
            };
            is_taken.set(true);
            self.caller.registration.record_upstream(&next_upstream);
            self.leave(call, events, fault);
            break match answer {
                Some(answer) => answer,
                None => self.until_caller_gone(attempt).await?,
            };
        };
        let resumed = self.until_caller_gone(self.resume(answer)).await?;
        let started = resumed.map_err(Stop::Broken)?;
        Ok((started.call, started.events, started.first))
    }

    /// Stays at a silent upstream, as the one to which the request was offered has not taken it.
    fn stay(&self, call: &mut Call, declined: Returned) {
        self.shared
            .with_router(|router, now| router.on_declined(now, &mut call.request, declined));
    }

    /// Leaves a silent upstream. Closing its connection makes it stop.
    fn leave(&self, call: Call, events: Events, fault: Fault) {
        drop(events);
        let request = call.end();
        self.shared
            .with_router(|router, now| router.on_left(now, &request, fault));
    }

    /// When another upstream is looked for again.
    fn next_search(&self, call: &Call) -> Instant {
        let router = self.shared.router.borrow();
        router.next_search(clock::now(), &call.request)
    }

    /// When the upstream counts as silent if the next event has not arrived.
    fn next_event_deadline(&self, call: &Call) -> Instant {
        let router = self.shared.router.borrow();
        router.next_event_deadline(clock::now(), &call.request)
    }

    async fn deliver(&self, call: &mut Call, event: Event) -> Result<(), Stop> {
        let sent = self.sender.send(event.bytes).await;
        sent.map_err(|_| Stop::CallerGone)?;
        if let Some(id) = event.id {
            self.shared
                .with_router(|router, now| router.on_event_delivered(now, &mut call.request, id));
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

    /// Resumes the stream after the last delivered event, with the answer of the next attempt or after its failure.
    async fn resume(
        &self,
        mut answer: Result<attempt::Response, Failure>,
    ) -> Result<Stream, Refusal> {
        let shared = &self.shared;
        loop {
            let failure = match answer {
                Ok(response) if Format::of(&response.parts) == self.format => {
                    match start(shared, response).await {
                        Ok(started) => {
                            let request = &started.call.request;
                            shared.with_router(|router, _| router.on_resumed(request));
                            return Ok(started);
                        }
                        Err(failure) => failure,
                    }
                }
                Ok(response) => attempt::fail(shared, response.call, Fault::Failed),
                Err(failure) => failure,
            };
            let placed = attempt::place_again(shared, failure).await?;
            answer = attempt::send(shared, &self.caller, placed).await;
        }
    }

    fn finish(&self, call: Call, events: &Events) {
        let request = call.end();
        let route = &request.stage().plan().route;
        self.shared
            .metrics
            .observe_response_end(&route.id, request.head().received_at);
        let completion = Completion {
            is_success: true,
            events: events.count(),
            first_event_after: events.time_to_first(request.stage().sent_at),
            service_time: events.pace().map(|pace| pace.mean_gap),
        };
        self.shared
            .with_router(|router, now| router.on_finished(now, &request, completion));
    }
}
