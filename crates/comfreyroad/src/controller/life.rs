//! The entry's own life.
//!
//! ```text
//! Joining -> Serving -> Draining -> Gone
//! ```

use std::time::Instant;

use super::Controller;
use crate::action::Action;
use crate::clock::Now;
use crate::event::Event;
use crate::note::{self, Note};
use crate::outbox::Outbox;
use crate::settings::Settings;

/// Not yet ready: no rules.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Joining;

/// Takes work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Serving;

/// Finishes what it has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Draining {
    /// Until then new calls are still taken, so that the balancer can see the change.
    pub notice_until: Instant,
    /// When whatever is left is cut.
    pub until: Instant,
}

/// Over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Gone;

/// Whichever phase it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Not yet ready.
    Joining(Joining),
    /// Takes work.
    Serving(Serving),
    /// Finishes what it has.
    Draining(Draining),
    /// Over.
    Gone(Gone),
}

impl Joining {
    fn serve(self) -> Serving {
        Serving
    }
}

impl Serving {
    fn drain(self, notice_until: Instant, until: Instant) -> Draining {
        Draining {
            notice_until,
            until,
        }
    }
}

impl Draining {
    fn end(self) -> Gone {
        Gone
    }
}

impl Phase {
    /// Its name, for people.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Joining(_) => "joining",
            Self::Serving(_) => "serving",
            Self::Draining(_) => "draining",
            Self::Gone(_) => "gone",
        }
    }
}

/// Keeps the entry's phase.
#[derive(Debug)]
pub struct Life {
    phase: Phase,
    notice: std::time::Duration,
    timeout: std::time::Duration,
    takes_work: bool,
    is_fresh: bool,
    ready: bool,
    calls: usize,
}

impl Life {
    pub(super) fn new(settings: &Settings) -> Self {
        Self {
            phase: Phase::Joining(Joining),
            notice: settings.drain_notice,
            timeout: settings.drain_timeout,
            takes_work: false,
            is_fresh: false,
            ready: false,
            calls: 0,
        }
    }

    /// The phase.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Whether a new call may come in.
    pub fn takes_work(&self) -> bool {
        self.takes_work
    }

    /// Whether the balancer should send work.
    pub fn is_ready(&self) -> bool {
        self.ready
    }

    fn set(&mut self, phase: Phase, out: &mut Outbox) {
        self.phase = phase;
        self.takes_work = matches!(phase, Phase::Serving(_) | Phase::Draining(_));
        self.ready = self.is_fresh && matches!(phase, Phase::Serving(_));
        out.note(Note::new(&note::PHASE).with("phase", phase.name()));
        out.act(Action::Ready(self.ready));
        out.raise(Event::Phase(phase));
    }

    fn on_fresh(&mut self, is_fresh: bool, out: &mut Outbox) {
        self.is_fresh = is_fresh;
        let ready = is_fresh && matches!(self.phase, Phase::Serving(_));
        if std::mem::replace(&mut self.ready, ready) != ready {
            out.act(Action::Ready(ready));
        }
    }

    fn on_shutdown(&mut self, now: Now, out: &mut Outbox) {
        match self.phase {
            Phase::Serving(serving) => {
                let draining = serving.drain(now.instant + self.notice, now.instant + self.timeout);
                self.set(Phase::Draining(draining), out);
            }
            // A second request to end, or one before there was any work, is taken at its word.
            Phase::Joining(_) | Phase::Draining(_) => {
                self.set(Phase::Gone(Gone), out);
                out.act(Action::Exit);
            }
            Phase::Gone(_) => {}
        }
    }

    fn on_tick(&mut self, now: Now, out: &mut Outbox) {
        let Phase::Draining(draining) = self.phase else {
            return;
        };
        self.takes_work = now.instant < draining.notice_until;
        let idle = self.calls == 0 && !self.takes_work;
        if idle || now.instant >= draining.until {
            self.set(Phase::Gone(draining.end()), out);
            out.act(Action::Exit);
        }
    }
}

impl Controller for Life {
    fn handle(&mut self, now: Now, event: &Event, out: &mut Outbox) {
        match event {
            Event::InForce(_) => {
                if let Phase::Joining(joining) = self.phase {
                    self.set(Phase::Serving(joining.serve()), out);
                }
            }
            Event::Fresh(is_fresh) => self.on_fresh(*is_fresh, out),
            Event::CallsLeft(calls) => self.calls = *calls,
            Event::Shutdown => self.on_shutdown(now, out),
            Event::Tick => self.on_tick(now, out),
            _ => {}
        }
    }
}
