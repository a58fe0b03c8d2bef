//! The lifecycle of this entry, as a typestate machine.
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

/// Maximum wait for the last record of an entry to reach the log.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(2);

/// Not ready: no rules are in force yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Joining;

/// Accepts calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Serving;

/// Completes the calls that are open.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Draining {
    /// Until then new calls are still accepted, so that the load balancer has time to notice the change.
    pub notice_until: Instant,
    /// When the remaining calls are cut.
    pub until: Instant,
    /// Set once no work remains or the remaining calls were cut: when the wait for the last record on the log ends.
    pub closing: Option<Instant>,
}

/// Ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Gone {
    /// Until then answers may still be in transit to slow callers.
    pub until: Instant,
}

/// The current phase of the lifecycle.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Not ready yet.
    Joining(Joining),
    /// Accepts calls.
    Serving(Serving),
    /// Completes the calls that are open.
    Draining(Draining),
    /// Ended.
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
    /// Returns the name of the phase for display.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Joining(_) => "joining",
            Self::Serving(_) => "serving",
            Self::Draining(_) => "draining",
            Self::Gone(_) => "gone",
        }
    }
}

/// Tracks the entry's phase and readiness.
#[derive(Debug)]
pub struct Lifecycle {
    phase: Phase,
    drain_notice: Duration,
    drain_timeout: Duration,
    waits_for_calls: bool,
    accepts_calls: bool,
    has_fresh_rules: bool,
    has_upstreams: bool,
    ready: bool,
    is_term_over: bool,
    // Remaining calls and records, counted after the entry last changed whether it accepts calls.
    remaining: Option<usize>,
    stale_counts: u32,
}

impl Lifecycle {
    pub(super) fn new(settings: &Settings) -> Self {
        Self {
            phase: Phase::Joining(Joining),
            drain_notice: settings.drain_notice,
            drain_timeout: settings.drain_timeout,
            waits_for_calls: settings.is_enabled(Mechanism::Draining),
            accepts_calls: false,
            has_fresh_rules: false,
            has_upstreams: false,
            ready: false,
            is_term_over: false,
            remaining: None,
            stale_counts: 0,
        }
    }

    /// Returns the current phase.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Whether new calls are accepted.
    pub fn accepts_calls(&self) -> bool {
        self.accepts_calls
    }

    /// Whether the load balancer should send calls to this entry.
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
        self.ready = is_serving && self.has_fresh_rules && self.has_upstreams && !self.is_term_over;
        out.act(Action::Ready(self.ready));
    }

    fn on_shutdown(&mut self, now: Now, out: &mut Outbox) {
        match self.phase {
            Phase::Serving(serving) => {
                let draining = serving.drain(
                    now.instant + self.drain_notice,
                    now.instant + self.drain_timeout,
                );
                self.set(Phase::Draining(draining), out);
            }
            // A second shutdown request cuts the remaining calls, a third skips the wait for the log.
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
            self.discard_counts();
        }
        let is_idle = !self.accepts_calls && self.remaining == Some(0);
        let is_over = now.instant >= draining.until || !self.waits_for_calls;
        match draining.closing {
            None if is_idle || is_over => self.close(now, draining, out),
            Some(until) if is_idle || now.instant >= until => self.end(draining.end(), out),
            _ => {}
        }
    }

    /// Stops accepting calls, cuts the remaining ones and waits until the record of this is on the log.
    fn close(&mut self, now: Now, draining: Draining, out: &mut Outbox) {
        self.phase = Phase::Draining(draining.close(now.instant + CLOSE_TIMEOUT));
        self.accepts_calls = false;
        self.discard_counts();
        out.raise(Event::CutCalls);
    }

    fn end(&mut self, gone: Gone, out: &mut Outbox) {
        let is_on_log = self.remaining == Some(0);
        self.set(Phase::Gone(gone), out);
        out.note(Note::new(&note::ENTRY_GONE).with("on_log", is_on_log));
        out.act(Action::Exit);
    }

    /// Discards the count and ignores the next one, which may not include a call that has just come in.
    fn discard_counts(&mut self) {
        self.remaining = None;
        self.stale_counts = 1;
    }

    fn on_count(&mut self, remaining: usize) {
        if self.stale_counts > 0 {
            self.stale_counts -= 1;
            return;
        }
        self.remaining = Some(remaining);
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
            Event::RulesFresh(has_fresh_rules) => {
                self.has_fresh_rules = *has_fresh_rules;
                self.set_ready(out);
            }
            Event::UpstreamUsable => {
                self.has_upstreams = true;
                self.set_ready(out);
            }
            Event::Unfinished(remaining) => self.on_count(*remaining),
            Event::Shutdown => self.on_shutdown(now, out),
            Event::Tick => self.on_tick(now, out),
            _ => {}
        }
    }
}
