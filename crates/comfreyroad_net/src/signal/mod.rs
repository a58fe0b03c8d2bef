//! Signals that ask the process to shut down or to reload its settings.

mod bell;
mod listener;
mod registration;

pub use listener::Listener;

/// A signal to the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// `SIGHUP`, sent when the settings file has changed.
    Hangup,
    /// `SIGINT`, sent from a terminal.
    Interrupt,
    /// `SIGTERM`, sent by the process supervisor.
    Terminate,
}

impl Signal {
    /// The signals that ask the process to shut down.
    pub const SHUTDOWN: [Self; 2] = [Self::Terminate, Self::Interrupt];

    /// The signal's number, which is the same on every Unix.
    fn number(self) -> i32 {
        match self {
            Self::Hangup => 1,
            Self::Interrupt => 2,
            Self::Terminate => 15,
        }
    }
}
