//! The entry's own life.
//!
//! ```text
//! Joining -> Serving -> Draining -> Gone
//! ```

use std::time::{Duration, Instant};

use super::Controller;
use crate::action::Action;
use crate::clock::Now;
use crate::event::Event;
use crate::mechanism::Mechanism;
use crate::note::{self, Note};
use crate::outbox::Outbox;
use crate::settings::Settings;

/// Time for the last record of an entry to get on the log.
const CLOSE_WAIT: Duration = Duration::from_secs(2);

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
    /// Once nothing is left or the rest was cut, when the last word on the log is waited for no longer.
    pub closing: Option<Instant>,
}

/// Over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Gone {
    /// Until then what has been answered may still be on its way to slow callers.
    pub until: Instant,
}

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
            closing: None,
        }
    }
}

impl Draining {
    fn close(self, until: Instant) -> Self {
        Self {
            closing: Some(until),
            ..self
        }
    }

    fn end(self) -> Gone {
        Gone { until: self.until }
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
pub struct Lifecycle {
    phase: Phase,
    notice: Duration,
    timeout: Duration,
    drains: bool,
    accepts_calls: bool,
    is_fresh: bool,
    has_upstreams: bool,
    ready: bool,
    is_term_over: bool,
    // Calls and records left, counted after the entry last changed what it takes.
    left: Option<usize>,
    old_counts: u32,
}

impl Lifecycle {
    pub(super) fn new(settings: &Settings) -> Self {
        Self {
            phase: Phase::Joining(Joining),
            notice: settings.drain_notice,
            timeout: settings.drain_timeout,
            drains: settings.has(Mechanism::Draining),
            accepts_calls: false,
            is_fresh: false,
            has_upstreams: false,
            ready: false,
            is_term_over: false,
            left: None,
            old_counts: 0,
        }
    }

    /// The phase.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Whether a new call may come in.
    pub fn accepts_calls(&self) -> bool {
        self.accepts_calls
    }

    /// Whether the balancer should send work.
    pub fn is_ready(&self) -> bool {
        self.ready
    }

    fn set(&mut self, phase: Phase, out: &mut Outbox) {
        self.phase = phase;
        self.accepts_calls = matches!(phase, Phase::Serving(_) | Phase::Draining(_));
        out.note(Note::new(&note::PHASE).with("phase", phase.name()));
        self.set_ready(out);
        out.raise(Event::Phase(phase));
    }

    fn set_ready(&mut self, out: &mut Outbox) {
        let is_serving = matches!(self.phase, Phase::Serving(_));
        self.ready = is_serving && self.is_fresh && self.has_upstreams && !self.is_term_over;
        out.act(Action::Ready(self.ready));
    }

    fn on_shutdown(&mut self, now: Now, out: &mut Outbox) {
        match self.phase {
            Phase::Serving(serving) => {
                let draining = serving.drain(now.instant + self.notice, now.instant + self.timeout);
                self.set(Phase::Draining(draining), out);
            }
            // A second request to end cuts what is left, a third does not wait for the log.
            Phase::Draining(draining) if draining.closing.is_none() => {
                let until = now.instant;
                self.close(now, Draining { until, ..draining }, out);
            }
            Phase::Draining(draining) => self.end(draining.end(), out),
            Phase::Joining(_) => self.end(Gone { until: now.instant }, out),
            Phase::Gone(_) => out.act(Action::Exit),
        }
    }

    fn on_tick(&mut self, now: Now, out: &mut Outbox) {
        let Phase::Draining(draining) = self.phase else {
            return;
        };
        if self.accepts_calls && now.instant >= draining.notice_until {
            self.accepts_calls = false;
            self.forget_counts();
        }
        let is_idle = !self.accepts_calls && self.left == Some(0);
        let is_over = now.instant >= draining.until || !self.drains;
        match draining.closing {
            None if is_idle || is_over => self.close(now, draining, out),
            Some(until) if is_idle || now.instant >= until => self.end(draining.end(), out),
            _ => {}
        }
    }

    /// Takes nothing more, cuts what is left, and waits until the log knows of it.
    fn close(&mut self, now: Now, draining: Draining, out: &mut Outbox) {
        self.phase = Phase::Draining(draining.close(now.instant + CLOSE_WAIT));
        self.accepts_calls = false;
        self.forget_counts();
        out.raise(Event::CutOff);
    }

    fn end(&mut self, gone: Gone, out: &mut Outbox) {
        let is_on_log = self.left == Some(0);
        self.set(Phase::Gone(gone), out);
        out.note(Note::new(&note::GONE).with("on_log", is_on_log));
        out.act(Action::Exit);
    }

    /// A count that is under way may miss a call that has just come in.
    fn forget_counts(&mut self) {
        self.left = None;
        self.old_counts = 1;
    }

    fn on_count(&mut self, left: usize) {
        if self.old_counts > 0 {
            self.old_counts -= 1;
            return;
        }
        self.left = Some(left);
    }
}

impl Controller for Lifecycle {
    fn handle(&mut self, now: Now, event: &Event, out: &mut Outbox) {
        match event {
            Event::InForce(_) => {
                if let Phase::Joining(joining) = self.phase {
                    self.set(Phase::Serving(joining.serve()), out);
                }
            }
            Event::TermOver(is_over) => {
                self.is_term_over = *is_over;
                self.set_ready(out);
            }
            Event::Fresh(is_fresh) => {
                self.is_fresh = *is_fresh;
                self.set_ready(out);
            }
            Event::Usable => {
                self.has_upstreams = true;
                self.set_ready(out);
            }
            Event::CallsLeft(left) => self.on_count(*left),
            Event::Shutdown => self.on_shutdown(now, out),
            Event::Tick => self.on_tick(now, out),
            _ => {}
        }
    }
}
