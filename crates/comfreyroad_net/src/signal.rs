//! Signals that ask the process to shut down or to reload its settings.

use std::{io, pin::pin};

use compio::signal::unix;
use futures_util::future::{Either, select};

/// Signal numbers, which are the same on every Unix.
const SIGHUP: i32 = 1;
const SIGINT: i32 = 2;
const SIGTERM: i32 = 15;

/// A signal that asks the process to shut down.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// `SIGINT`, sent from a terminal.
    Interrupt,
    /// `SIGTERM`, sent by the process supervisor.
    Terminate,
}

/// Waits for `SIGTERM` or `SIGINT`. The handlers are installed from the first poll until the future is dropped.
pub async fn shutdown() -> io::Result<Signal> {
    let terminate = pin!(unix::signal(SIGTERM));
    let interrupt = pin!(unix::signal(SIGINT));
    match select(terminate, interrupt).await {
        Either::Left((result, _)) => result.map(|()| Signal::Terminate),
        Either::Right((result, _)) => result.map(|()| Signal::Interrupt),
    }
}

/// Waits for `SIGHUP`, which asks the process to reload its settings. The handler is installed at the first poll.
pub async fn hangup() -> io::Result<()> {
    unix::signal(SIGHUP).await
}
