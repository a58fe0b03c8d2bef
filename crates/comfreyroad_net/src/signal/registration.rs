//! A signal with a handler.

use std::{
    fmt::{self, Debug, Formatter},
    future::Future,
    io, mem,
    pin::Pin,
    task::{Context, Poll, Waker, ready},
};

use compio::signal::unix;

use super::Signal;

/// Completes when the signal arrives. Its handler is installed from the first poll until it completes or is dropped.
type Arrival = Pin<Box<dyn Future<Output = io::Result<()>>>>;

/// A signal whose handler is installed as long as the value exists.
pub(super) struct Registration {
    signal: Signal,
    has_arrived: bool,
    next: Arrival,
    /// Never awaited. It keeps the handler installed while `next` is replaced.
    _keeper: Arrival,
}

impl Registration {
    pub(super) fn new(signal: Signal) -> io::Result<Self> {
        let (next, has_arrived) = register(signal)?;
        let (keeper, _) = register(signal)?;
        Ok(Self {
            signal,
            has_arrived,
            next,
            _keeper: keeper,
        })
    }

    pub(super) fn signal(&self) -> Signal {
        self.signal
    }

    /// Returns whether the signal has arrived since the last poll that was ready.
    pub(super) fn poll(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if mem::take(&mut self.has_arrived) {
            return Poll::Ready(Ok(()));
        }
        let result = ready!(self.next.as_mut().poll(cx));
        // If the signal cannot be registered now, the next poll tries again.
        self.next = Box::pin(unix::signal(self.signal.number()));
        result?;
        (self.next, _) = register(self.signal)?;
        Poll::Ready(Ok(()))
    }
}

impl Debug for Registration {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.debug_tuple("Registration").field(&self.signal).finish()
    }
}

/// Installs the handler, and returns whether the signal has arrived meanwhile.
fn register(signal: Signal) -> io::Result<(Arrival, bool)> {
    let mut cx = Context::from_waker(Waker::noop());
    let mut has_arrived = false;
    loop {
        let mut arrival: Arrival = Box::pin(unix::signal(signal.number()));
        match arrival.as_mut().poll(&mut cx) {
            Poll::Pending => return Ok((arrival, has_arrived)),
            Poll::Ready(result) => result?,
        }
        has_arrived = true;
    }
}
