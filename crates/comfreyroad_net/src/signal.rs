//! Signals that ask the process to end, or to read its settings again.

use std::{io, pin::pin};

use compio::signal::unix;
use futures_util::future::{Either, select};

/// Signal numbers of every Unix.
const SIGHUP: i32 = 1;
const SIGINT: i32 = 2;
const SIGTERM: i32 = 15;

/// A signal that asks the process to end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// From a terminal (`SIGINT`).
    Interrupt,
    /// From whoever runs the process (`SIGTERM`).
    Terminate,
}

/// Waits for `SIGTERM` or `SIGINT`. The handlers are there from the first poll until the future is dropped.
pub async fn shutdown() -> io::Result<Signal> {
    let terminate = pin!(unix::signal(SIGTERM));
    let interrupt = pin!(unix::signal(SIGINT));
    match select(terminate, interrupt).await {
        Either::Left((result, _)) => result.map(|()| Signal::Terminate),
        Either::Right((result, _)) => result.map(|()| Signal::Interrupt),
    }
}

/// Waits for `SIGHUP`, by which settings are read again. The handler is there from the first poll on.
pub async fn hangup() -> io::Result<()> {
    unix::signal(SIGHUP).await
}
