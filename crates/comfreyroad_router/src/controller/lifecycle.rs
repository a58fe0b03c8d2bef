//! The life of the process: starting, serving, draining.

use std::time::{Duration, Instant};

use comfreyroad::clock::Now;

use super::Controller;
use crate::note::{self, Note};
use crate::outbox::Outbox;
use crate::record::Topic;
use crate::{Action, Event, Settings};

/// Time for the balancer to see a shutdown: two readiness checks, one a second, with a margin.
const NOTICE: Duration = Duration::from_millis(2800);
/// Part of the grace period that is left for the process to end.
const MARGIN: Duration = Duration::from_millis(300);
/// Time after the start within which the first configuration is likely to come, as the store answers in milliseconds.
const FIRST_CONFIGURATION: Duration = Duration::from_millis(1000);
/// Time for which a request waits for it.
const WAIT: Duration = Duration::from_millis(400);
/// Time after the start at which an entry serves without having read every topic.
const PATIENCE: Duration = Duration::from_secs(4);

/// The process has started and gathers what it needs.
#[derive(Debug)]
pub struct Starting {
    configured_by: Option<Instant>,
    patient_until: Option<Instant>,
    has_configuration: bool,
    missing: Vec<Topic>,
}

/// The process takes requests.
#[derive(Debug)]
pub struct Serving;

/// The process finishes what it has.
#[derive(Debug)]
pub struct Draining {
    /// When connections are taken no more.
    pub stops_accepting_at: Instant,
    /// When the process ends in any case.
    pub exit_deadline: Instant,
    is_closed: bool,
}

/// Where the process stands.
#[derive(Debug)]
pub enum Phase {
    /// See [`Starting`].
    Starting(Starting),
    /// See [`Serving`].
    Serving(Serving),
    /// See [`Draining`].
    Draining(Draining),
}

/// Keeps the phase.
#[derive(Debug)]
pub struct Lifecycle {
    grace: Duration,
    phase: Phase,
}

impl Starting {
    fn is_done(&self, now: Instant) -> bool {
        let is_patient = self.patient_until.is_some_and(|until| until > now);
        self.has_configuration && (self.missing.is_empty() || !is_patient)
    }
}

impl Draining {
    fn new(now: Instant, grace: Duration) -> Self {
        Self {
            stops_accepting_at: now + NOTICE.min(grace / 2),
            exit_deadline: now + grace.saturating_sub(MARGIN),
            is_closed: false,
        }
    }
}

impl Lifecycle {
    pub(super) fn new(settings: &Settings) -> Self {
        Self {
            grace: settings.drain_timeout,
            phase: Phase::Starting(Starting {
                configured_by: None,
                patient_until: None,
                has_configuration: false,
                missing: vec![Topic::Operator, Topic::Upstreams, Topic::Status],
            }),
        }
    }

    /// Where the process stands.
    pub fn phase(&self) -> &Phase {
        &self.phase
    }

    /// Whether the balancer should send new connections.
    pub fn is_ready(&self) -> bool {
        matches!(self.phase, Phase::Serving(_))
    }

    /// Until when a request waits for the first configuration, rather than being refused.
    pub fn configuration_wait_ends(&self, received: Instant) -> Option<Instant> {
        let Phase::Starting(starting) = &self.phase else {
            return None;
        };
        let by = starting
            .configured_by
            .filter(|_| !starting.has_configuration)?;
        Some(by.min(received + WAIT))
    }

    /// Whether connections are to end with their next answer.
    pub fn is_draining(&self) -> bool {
        matches!(self.phase, Phase::Draining(_))
    }

    /// When the process ends at the latest, once it is to end.
    pub fn exit_deadline(&self) -> Option<Instant> {
        match &self.phase {
            Phase::Draining(draining) => Some(draining.exit_deadline),
            Phase::Starting(_) | Phase::Serving(_) => None,
        }
    }

    fn on_starting(&mut self, now: Now, event: &Event, out: &mut Outbox) {
        let Phase::Starting(starting) = &mut self.phase else {
            return;
        };
        match event {
            Event::Started => {
                starting.configured_by = Some(now.instant + FIRST_CONFIGURATION);
                starting.patient_until = Some(now.instant + PATIENCE);
            }
            Event::ConfigurationApplied(_) => starting.has_configuration = true,
            Event::TopicListed { topic, .. } => starting.missing.retain(|it| it != topic),
            Event::FrameReceived(frame) => {
                let complete = &frame.complete_up_to;
                starting.missing.retain(|it| !complete.contains_key(it));
            }
            _ => {}
        }
        if starting.is_done(now.instant) {
            self.phase = Phase::Serving(Serving);
            out.note(Note::new(&note::SERVING));
        }
    }

    fn on_shutdown(&mut self, now: Now, out: &mut Outbox) {
        if self.is_draining() {
            return;
        }
        out.note(Note::new(&note::DRAINING).with("grace_ms", self.grace.as_millis()));
        self.phase = Phase::Draining(Draining::new(now.instant, self.grace));
    }
}

impl Controller for Lifecycle {
    fn handle(&mut self, now: Now, event: &Event, out: &mut Outbox) {
        if matches!(event, Event::Shutdown) {
            self.on_shutdown(now, out);
        }
        self.on_starting(now, event, out);
        if let Phase::Draining(draining) = &mut self.phase
            && draining.stops_accepting_at <= now.instant
            && !std::mem::replace(&mut draining.is_closed, true)
        {
            out.act(Action::Close);
        }
    }
}
