//! Receives signals one after the other.

use std::{
    io,
    task::{Context, Poll},
};

use super::{Signal, bell::Bell, registration::Registration};

/// Receives signals, whose default actions are out of force as long as the listener exists.
#[derive(Debug)]
pub struct Listener {
    // Dropped before the bell, so that no handler drops the bell's last reference.
    registrations: Vec<Registration>,
    bell: Bell,
}

impl Listener {
    /// Installs the handlers.
    ///
    /// # Errors
    ///
    /// Fails if the process has no file descriptors left.
    pub fn new(signals: &[Signal]) -> io::Result<Self> {
        let bell = Bell::new()?;
        let registrations = signals.iter().copied().map(Registration::new);
        Ok(Self {
            registrations: registrations.collect::<io::Result<_>>()?,
            bell,
        })
    }

    /// Waits for the next signal. Dropping the future loses no signal. Equal signals that arrive before this returns
    /// count as one, as those do that are pending in the kernel.
    ///
    /// # Errors
    ///
    /// Fails if the event loop cannot wait for the handlers. They stay installed.
    pub async fn next(&mut self) -> io::Result<Signal> {
        loop {
            self.bell.reset()?;
            let mut cx = Context::from_waker(self.bell.waker());
            for registration in &mut self.registrations {
                if let Poll::Ready(result) = registration.poll(&mut cx) {
                    return result.map(|()| registration.signal());
                }
            }
            self.bell.rung().await?;
        }
    }
}
