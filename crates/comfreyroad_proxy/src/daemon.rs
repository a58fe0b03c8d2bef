//! The loop: listeners, timer and signals.

use std::cell::Cell;
use std::net::SocketAddr;
use std::path::Path;
use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

use comfreyroad_net::listener::Listener;
use comfreyroad_net::server::{self, Server};
use comfreyroad_net::{runtime, signal};
use comfreyroad_platform::ready;
use comfreyroad_platform::settings::Settings;
use comfreyroad_router::Event;
use comfreyroad_router::note::{self, Note};
use futures_util::future::select;

use crate::clock::Watch;
use crate::front::Front;
use crate::shared::Shared;
use crate::{control, logger};

/// Time between two ticks. Budgets, gossip and rollouts go by tenths of a second.
const TICK: Duration = Duration::from_millis(100);
/// Time between two looks at the settings file, which may change without a signal.
const SETTINGS_PERIOD: Duration = Duration::from_secs(2);
/// Part of the machine's descriptors that connections of callers may take; the rest is for upstreams and files.
const FRONT_SHARE: usize = 2;

/// A process that could not start, or whose loop broke.
#[derive(Debug, thiserror::Error)]
#[error("{step} {peer}: {source}")]
pub struct Error {
    step: &'static str,
    peer: String,
    source: std::io::Error,
}

fn bind(address: SocketAddr) -> Result<Listener, Error> {
    Listener::bind(address).map_err(|source| Error {
        step: "listen",
        peer: address.to_string(),
        source,
    })
}

/// Runs the daemon until it is told to end.
pub fn run(path: &Path, settings: &Settings) -> Result<(), Error> {
    let fail = |source| Error {
        step: "run",
        peer: "loop".into(),
        source,
    };
    runtime::run(serve(path, settings)).map_err(fail)?
}

async fn serve(path: &Path, settings: &Settings) -> Result<(), Error> {
    let front = Server::new(bind(settings.listen.front)?);
    let ready = Server::new(bind(settings.listen.ready)?);
    let control = Server::new(bind(settings.listen.control)?);
    let limits = front.shared_limits();
    let shared = Rc::new(Shared::new(settings, front.stop()));
    logger::write(
        &Note::new(&note::STARTED)
            .with("entry", &settings.entry)
            .with("zone", &settings.zone)
            .with("version", env!("CARGO_PKG_VERSION")),
    );
    compio::runtime::spawn(serve_ready(shared.clone(), ready)).detach();
    compio::runtime::spawn(serve_control(shared.clone(), control)).detach();
    compio::runtime::spawn(signals(shared.clone())).detach();
    compio::runtime::spawn(reload(path.to_owned(), settings.clone())).detach();
    shared.raise(Event::Started);
    let most = settings.limits.max_fds as usize / FRONT_SHARE;
    compio::runtime::spawn(ticks(shared.clone(), limits, most)).detach();
    let handler = Front::new(shared.clone());
    let served = pin!(front.serve(move |request, peer| handler.clone().answer(request, peer)));
    let ended = pin!(end(&shared));
    select(served, ended).await;
    logger::write(&Note::new(&note::STOPPED).with("open", shared.open.get()));
    Ok(())
}

/// Waits until the process must end, whatever is under way.
async fn end(shared: &Rc<Shared>) {
    loop {
        if shared.ends_at().is_some_and(|at| at <= Instant::now()) {
            return;
        }
        compio::time::sleep(TICK).await;
    }
}

async fn serve_ready(shared: Rc<Shared>, server: Server) {
    let handler = move |request: http::Request<hyper::body::Incoming>, _| {
        let is_ready = shared.router.borrow().state().lifecycle.is_ready();
        std::future::ready(ready::answer(&request, is_ready))
    };
    if let Err(error) = server.serve(handler).await {
        log::error!("readiness: {error}");
    }
}

async fn serve_control(shared: Rc<Shared>, server: Server) {
    let handler = move |request, peer| control::answer(shared.clone(), request, peer);
    if let Err(error) = server.serve(handler).await {
        log::error!("control: {error}");
    }
}

async fn ticks(shared: Rc<Shared>, limits: Rc<Cell<server::Limits>>, connections: usize) {
    let mut watch = Watch::default();
    loop {
        compio::time::sleep(TICK).await;
        if watch.has_paused(TICK) {
            logger::write(&Note::new(&note::PROCESS_PAUSED));
            shared.raise(Event::ProcessPaused);
        }
        shared.raise(Event::Tick);
        apply_limits(&shared, &limits, connections);
    }
}

/// Has new connections go by the limits of the configuration in force.
fn apply_limits(shared: &Shared, limits: &Cell<server::Limits>, connections: usize) {
    let router = shared.router.borrow();
    let Some(configuration) = router.state().configuration.active() else {
        return;
    };
    limits.set(server::Limits {
        connections,
        header_bytes: configuration.limits.max_header_bytes,
        // The same time bounds the wait for the next request of a connection.
        header_time: configuration.limits.idle_timeout,
        ..server::Limits::default()
    });
}

async fn signals(shared: Rc<Shared>) {
    while signal::wait().await.is_ok() {
        shared.raise(Event::Shutdown);
    }
}

/// Looks at the settings file after `SIGHUP`, and now and then without one. Addresses and bounds hold until the next
/// start; a change of them is logged.
async fn reload(path: std::path::PathBuf, mut settings: Settings) {
    loop {
        let hangup = pin!(signal::hangup());
        let period = pin!(compio::time::sleep(SETTINGS_PERIOD));
        select(hangup, period).await;
        match Settings::read(&path) {
            Ok(read) if read != settings => {
                logger::write(&Note::new(&note::SETTINGS_RELOADED).with("path", path.display()));
                settings = read;
            }
            Ok(_) => {}
            Err(error) => log::warn!(target: logger::TARGET, "settings kept: {error}"),
        }
    }
}
