//! Event loop: listeners, ticks and signals.

use std::cell::Cell;
use std::net::SocketAddr;
use std::path::Path;
use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

use comfreyroad_net::listener::Listener;
use comfreyroad_net::runtime;
use comfreyroad_net::server::{self, Server};
use comfreyroad_net::signal::{self, Signal};
use comfreyroad_platform::ready;
use comfreyroad_platform::settings::Settings;
use comfreyroad_router::Event;
use comfreyroad_router::note::{self, Note};
use futures_channel::oneshot;
use futures_util::future::{Either, select};

use crate::clock::Watchdog;
use crate::front::Front;
use crate::shared::Shared;
use crate::{control, logger};

/// Interval of ticks; budgets, gossip and rollouts work at a resolution of a tenth of a second.
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Interval at which the settings file is reread, as it may change without a signal.
const SETTINGS_INTERVAL: Duration = Duration::from_secs(2);
/// Time in which the server closes the connections that are open at the exit deadline.
const CLOSE_TIME: Duration = Duration::from_millis(150);
/// Divisor of the file descriptor limit: callers' connections get half, the rest is for upstreams and files.
const FRONT_FD_DIVISOR: usize = 2;

/// Why the daemon could not start, or its event loop failed.
#[derive(Debug, thiserror::Error)]
#[error("{step} {subject}: {source}")]
pub struct Error {
    step: &'static str,
    subject: String,
    source: std::io::Error,
}

fn listen(signals: &[Signal]) -> Result<signal::Listener, Error> {
    signal::Listener::new(signals).map_err(|source| Error {
        step: "handle",
        subject: "signals".into(),
        source,
    })
}

fn bind(address: SocketAddr) -> Result<Listener, Error> {
    Listener::bind(address).map_err(|source| Error {
        step: "listen",
        subject: address.to_string(),
        source,
    })
}

/// Runs the daemon until it shuts down.
pub fn run(path: &Path, settings: &Settings) -> Result<(), Error> {
    let error = |source| Error {
        step: "run",
        subject: "loop".into(),
        source,
    };
    runtime::run(serve(path, settings)).map_err(error)?
}

async fn serve(path: &Path, settings: &Settings) -> Result<(), Error> {
    // No request is accepted before signals are handled, as their default action ends the process.
    let shutdown = listen(&Signal::SHUTDOWN)?;
    let hangup = listen(&[Signal::Hangup])?;
    let front = Server::new(bind(settings.listen.front)?);
    let ready = Server::new(bind(settings.listen.ready)?);
    let control = Server::new(bind(settings.listen.control)?);
    let limits = front.shared_limits();
    let shared = Rc::new(Shared::new(settings, front.handle()));
    logger::write(
        &Note::new(&note::STARTED)
            .with("entry", &settings.entry)
            .with("zone", &settings.zone)
            .with("version", env!("CARGO_PKG_VERSION")),
    );
    compio::runtime::spawn(serve_ready(shared.clone(), ready)).detach();
    compio::runtime::spawn(serve_control(shared.clone(), control)).detach();
    let (draining, drains) = oneshot::channel();
    compio::runtime::spawn(handle_signals(shared.clone(), shutdown, draining)).detach();
    compio::runtime::spawn(watch_settings(path.to_owned(), settings.clone(), hangup)).detach();
    shared.handle_event(Event::Started);
    let max_connections = settings.limits.max_fds as usize / FRONT_FD_DIVISOR;
    compio::runtime::spawn(run_ticks(shared.clone(), limits, max_connections)).detach();
    let handler = Front::new(shared.clone());
    let served = pin!(front.serve(move |request, peer| handler.clone().handle(request, peer)));
    let ended = pin!(end_at_exit_deadline(&shared, drains));
    select(served, ended).await;
    logger::write(&describe_stop(&shared));
    logger::finish();
    Ok(())
}

/// The log event of the exit: by how much its deadline was missed, how many connections were reset in the middle of a response that was
/// complete for the router, and how many requests were open.
fn describe_stop(shared: &Shared) -> Note {
    let now = Instant::now();
    let late = shared
        .exit_deadline()
        .map(|deadline| now.saturating_duration_since(deadline));
    Note::new(&note::STOPPED)
        .with("late_ms", late.unwrap_or_default().as_millis())
        .with("cut", shared.stop.cut_connections())
        .with("open", shared.registry.open_at_end())
}

/// Waits until the exit deadline, ends the requests that are still open, and gives the server time to close their connections.
///
/// Before the shutdown there is no such deadline, and looking for one would wake the process ten times a second.
async fn end_at_exit_deadline(shared: &Rc<Shared>, drains: oneshot::Receiver<()>) {
    // The sender lives as long as the loop.
    let _ = drains.await;
    loop {
        let deadline = shared.exit_deadline();
        if deadline.is_some_and(|at| at <= Instant::now()) {
            break;
        }
        let next = Instant::now() + TICK_INTERVAL;
        compio::time::sleep_until(deadline.map_or(next, |at| at.min(next))).await;
    }
    shared.end();
    compio::time::sleep(CLOSE_TIME).await;
}

async fn serve_ready(shared: Rc<Shared>, server: Server) {
    let handler = move |request: http::Request<hyper::body::Incoming>, _| {
        let is_ready = shared.router.borrow().state().lifecycle.is_ready();
        std::future::ready(ready::respond(&request, is_ready))
    };
    server.serve(handler).await;
}

async fn serve_control(shared: Rc<Shared>, server: Server) {
    let handler = move |request, peer| control::handle(shared.clone(), request, peer);
    server.serve(handler).await;
}

async fn run_ticks(shared: Rc<Shared>, limits: Rc<Cell<server::Limits>>, max_connections: usize) {
    let mut watchdog = Watchdog::default();
    loop {
        compio::time::sleep(TICK_INTERVAL).await;
        if watchdog.has_paused(TICK_INTERVAL) {
            logger::write(&Note::new(&note::PROCESS_PAUSED));
            shared.handle_event(Event::ProcessPaused);
        }
        shared.handle_event(Event::Tick);
        apply_limits(&shared, &limits, max_connections);
    }
}

/// Applies the limits of the configuration in force to new connections.
fn apply_limits(shared: &Shared, limits: &Cell<server::Limits>, max_connections: usize) {
    let router = shared.router.borrow();
    let Some(configuration) = router.state().configuration.active() else {
        return;
    };
    limits.set(server::Limits {
        max_connections,
        max_header_bytes: configuration.limits.max_header_bytes,
        // The server has one timeout for a request's headers and for the next request on an idle connection; the idle
        // timeout of the configuration serves for both.
        header_timeout: configuration.limits.idle_timeout,
        ..server::Limits::default()
    });
}

async fn handle_signals(
    shared: Rc<Shared>,
    mut signals: signal::Listener,
    draining: oneshot::Sender<()>,
) {
    let mut draining = Some(draining);
    loop {
        match signals.next().await {
            Ok(_) => {
                shared.handle_event(Event::Shutdown);
                if let Some(draining) = draining.take() {
                    // The receiver is gone only if the process ends anyway.
                    let _ = draining.send(());
                }
            }
            Err(error) => {
                log::error!(target: logger::TARGET, "signals not received: {error}");
                compio::time::sleep(TICK_INTERVAL).await;
            }
        }
    }
}

/// Rereads the settings file on `SIGHUP` and periodically. A change is only logged: it takes effect at the next start.
async fn watch_settings(
    path: std::path::PathBuf,
    mut settings: Settings,
    mut hangup: signal::Listener,
) {
    let mut known = None;
    loop {
        let period = pin!(compio::time::sleep(SETTINGS_INTERVAL));
        if let Either::Left((Err(error), period)) = select(pin!(hangup.next()), period).await {
            log::error!(target: logger::TARGET, "signals not received: {error}");
            period.await;
        }
        let bytes = std::fs::read(&path).ok();
        if bytes.is_some() && bytes == known {
            continue;
        }
        known = None;
        match Settings::read(&path) {
            Ok(read) if read != settings => {
                logger::write(&Note::new(&note::SETTINGS_RELOADED).with("path", path.display()));
                settings = read;
            }
            // The same bytes need not be parsed again.
            Ok(_) => known = bytes,
            Err(error) => log::warn!(target: logger::TARGET, "settings not reloaded: {error}"),
        }
    }
}
