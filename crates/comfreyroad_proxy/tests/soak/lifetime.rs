//! The life of an entry's process from its start to its end.

use std::process::ExitStatus;
use std::time::Instant;

/// Lifetime of a process.
#[derive(Clone, Debug)]
pub(super) struct Lifetime {
    pub(super) entry: usize,
    pub(super) started: Instant,
    /// Whether the process has been ready, so that it handles signals.
    pub(super) was_ready: bool,
    /// Whether it got a signal before it was ready, which may end it.
    pub(super) is_signaled_early: bool,
    /// When it was first told to shut down.
    pub(super) terminated: Option<Instant>,
    /// Whether the run has killed it.
    pub(super) is_killed: bool,
    /// When its end was noticed, and its status.
    pub(super) end: Option<(Instant, ExitStatus)>,
}

impl Lifetime {
    pub(super) fn new(entry: usize) -> Self {
        Self {
            entry,
            started: Instant::now(),
            was_ready: false,
            is_signaled_early: false,
            terminated: None,
            is_killed: false,
            end: None,
        }
    }

    /// Whether the process was running at an instant.
    pub(super) fn contains(&self, at: Instant) -> bool {
        self.started <= at && self.end.as_ref().is_none_or(|(end, _)| at <= *end)
    }
}
