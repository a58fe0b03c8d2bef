//! Executes the router's actions. Each call to the store or to a peer runs as a task, which passes the result back to
//! the router as an event.

use std::rc::Rc;
use std::time::{Duration, Instant};

use comfreyroad_net::body::Body;
use comfreyroad_net::client::read_all;
use comfreyroad_platform::store::{Cause, Error};
use comfreyroad_router::frame::Frame;
use comfreyroad_router::id::{Address, CallId, Position};
use comfreyroad_router::record::{Content, Topic};
use comfreyroad_router::{Action, Event};
use http::{Method, Request};

use crate::control::{GOSSIP_PATH, MAX_FRAME_BYTES};
use crate::frames;
use crate::logger;
use crate::shared::Shared;

/// Timeout of calls to the store, in addition to the long-poll time of a read.
const STORE_TIMEOUT: Duration = Duration::from_millis(1000);
/// Timeout for all pages of a listing.
const LIST_TIMEOUT: Duration = Duration::from_secs(4);
/// Time from the exit deadline to the reset of connections that are still open, in which they end by themselves.
const RESET_DELAY: Duration = Duration::from_millis(100);
/// Timeout of calls to peers.
const PEER_TIMEOUT: Duration = Duration::from_millis(700);

/// Executes actions.
pub fn execute(shared: &Rc<Shared>, actions: Vec<Action>) {
    for action in actions {
        match action {
            Action::Note(note) => {
                shared.metrics.count(&note);
                logger::write(&note);
            }
            Action::Close => {
                let deadline = shared.exit_deadline().unwrap_or_else(Instant::now);
                shared.stop.stop(deadline + RESET_DELAY);
            }
            Action::List(topic, call) => spawn(list(shared.clone(), topic, call)),
            Action::Reconnect => shared.store.close_idle_connections(),
            Action::Read {
                topic,
                call,
                from,
                wait,
            } => spawn(read(shared.clone(), (topic, call), from, wait)),
            Action::Write {
                topic,
                content,
                expected_end,
            } => {
                spawn(write(shared.clone(), topic, content, expected_end));
            }
            Action::Gossip { to, frame } => spawn(gossip(shared.clone(), to, frame)),
        }
    }
}

fn spawn(task: impl Future<Output = ()> + 'static) {
    compio::runtime::spawn(task).detach();
}

async fn list(shared: Rc<Shared>, topic: Topic, call: CallId) {
    let started = Instant::now();
    let listed = shared.store.list(topic, started + LIST_TIMEOUT).await;
    shared
        .metrics
        .observe_store_call("list", started, listed.is_ok());
    shared.handle_event(match listed {
        Ok(batch) => Event::TopicListed {
            topic,
            call,
            records: batch.records,
            next: batch.next_offset,
        },
        Err(error) => failure_event(topic, call, &error),
    });
}

async fn read(shared: Rc<Shared>, (topic, call): (Topic, CallId), from: Position, wait: Duration) {
    let started = Instant::now();
    let deadline = started + wait + STORE_TIMEOUT;
    let read = shared.store.read(topic, from, wait, deadline).await;
    shared
        .metrics
        .observe_store_call("read", started, read.is_ok());
    shared.handle_event(match read {
        Ok(batch) => Event::TopicRead {
            topic,
            call,
            records: batch.records,
            next: batch.next_offset,
        },
        Err(error) => failure_event(topic, call, &error),
    });
}

fn failure_event(topic: Topic, call: CallId, error: &Error) -> Event {
    if let Cause::Expired = error.cause {
        return Event::RecordsExpired(topic, call);
    }
    log::debug!("cannot read topic {}: {error}", topic.name());
    Event::StoreFailed(topic, call)
}

async fn write(shared: Rc<Shared>, topic: Topic, content: Content, at: Option<Position>) {
    let started = Instant::now();
    let deadline = started + STORE_TIMEOUT;
    let written = shared.store.write(topic, &content, at, deadline).await;
    shared
        .metrics
        .observe_store_call("write", started, written.is_ok());
    shared.handle_event(match written {
        // No event: the router learns of the record when it reads the topic.
        Ok(()) => return,
        Err(Error {
            cause: Cause::Conflict,
            ..
        }) => Event::WriteConflict(topic),
        Err(error) => {
            log::warn!(target: logger::TARGET, "cannot write to topic {}: {error}", topic.name());
            Event::WriteFailed(topic)
        }
    });
}

async fn gossip(shared: Rc<Shared>, to: Address, frame: Box<Frame>) {
    shared.handle_event(match exchange(&shared, &to, &frame).await {
        Some(frame) => Event::FrameReceived(Rc::new(frame)),
        None => Event::PeerFailed(to),
    });
}

/// Sends a frame to a peer and returns the frame of the response.
async fn exchange(shared: &Shared, to: &Address, frame: &Frame) -> Option<Frame> {
    let report = |error: &dyn std::fmt::Display| log::debug!("gossip with {to} failed: {error}");
    let address = to.parse().inspect_err(|error| report(error)).ok()?;
    let bytes = frames::encode(frame)
        .inspect_err(|error| report(error))
        .ok()?;
    let request = Request::builder().method(Method::POST).uri(GOSSIP_PATH);
    let request = request
        .body(Body::full(bytes))
        .inspect_err(|error| report(error))
        .ok()?;
    let deadline = Instant::now() + PEER_TIMEOUT;
    let call = shared.peers.call(address, request, deadline).await;
    let response = call.inspect_err(|error| report(error)).ok()?;
    let body = read_all(address, response.into_body(), MAX_FRAME_BYTES, deadline).await;
    let body = body.inspect_err(|error| report(error)).ok()?;
    rmp_serde::from_slice(&body)
        .inspect_err(|error| report(error))
        .ok()
}
