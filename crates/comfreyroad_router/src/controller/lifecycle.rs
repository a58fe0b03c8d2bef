//! The lifecycle of the process: starting, serving, draining.

use std::time::{Duration, Instant};

use comfreyroad::clock::Now;

use super::Controller;
use crate::note::{self, Note};
use crate::outbox::Outbox;
use crate::record::Topic;
use crate::{Action, Event, Settings};

/// Time for the load balancer to notice a shutdown: two readiness checks, one per second, and a margin.
const DRAIN_NOTICE: Duration = Duration::from_millis(2800);
/// Time for which a signal may have waited while the process got no processor. A longer pause is a suspension of the VM, in which
/// the supervisor's clock stood still as well, or its signal came as likely at the end.
const MAX_SIGNAL_DELAY: Duration = Duration::from_millis(1000);
/// Fraction (1/6) of the drain timeout at its end in which the exit may cut answers, however late the signal was handled.
const LAST_PART_DIVISOR: u32 = 6;
/// Part of the drain timeout that is reserved for the exit of the process.
const EXIT_MARGIN: Duration = Duration::from_millis(300);
/// Time after the start within which the first configuration normally arrives, as the store answers in milliseconds.
const CONFIGURATION_TIMEOUT: Duration = Duration::from_millis(1000);
/// Maximum time for which a request waits for the first configuration.
const MAX_REQUEST_WAIT: Duration = Duration::from_millis(400);
/// Time after the start from which an entry serves even if it has not listed every topic.
const LISTING_TIMEOUT: Duration = Duration::from_secs(4);

/// The process has started and is reading its initial state.
#[derive(Debug)]
pub struct Starting {
    configuration_due_at: Option<Instant>,
    listings_due_at: Option<Instant>,
    has_configuration: bool,
    unlisted_topics: Vec<Topic>,
}

/// The process serves requests.
#[derive(Debug)]
pub struct Serving;

/// The process shuts down gracefully: it finishes its open requests.
#[derive(Debug)]
pub struct Draining {
    /// Until when it takes requests that may end after the exit.
    pub takes_requests_until: Instant,
    /// When it stops accepting connections.
    pub stops_accepting_at: Instant,
    /// When the process exits at the latest.
    pub exit_deadline: Instant,
    has_stopped_accepting: bool,
}

/// The phase of the process.
#[derive(Debug)]
pub enum Phase {
    /// See [`Starting`].
    Starting(Starting),
    /// See [`Serving`].
    Serving(Serving),
    /// See [`Draining`].
    Draining(Draining),
}

/// Controller of the lifecycle.
#[derive(Debug)]
pub struct Lifecycle {
    drain_timeout: Duration,
    phase: Phase,
    // The last two ticks, the earlier one first. The start counts as one.
    ticks: [Option<Instant>; 2],
}

impl Starting {
    /// Whether the entry can start to serve requests.
    fn can_serve(&self, now: Instant) -> bool {
        let awaits_listings = self.listings_due_at.is_some_and(|at| at > now);
        self.has_configuration && (self.unlisted_topics.is_empty() || !awaits_listings)
    }
}

impl Draining {
    fn new(now: Instant, requested_at: Instant, drain_timeout: Duration) -> Self {
        let notice = DRAIN_NOTICE.min(drain_timeout / 2);
        Self {
            takes_requests_until: requested_at + notice,
            // The load balancer notices the shutdown by checks that this process answers.
            stops_accepting_at: now + notice,
            exit_deadline: requested_at + drain_timeout.saturating_sub(EXIT_MARGIN),
            has_stopped_accepting: false,
        }
    }
}

impl Lifecycle {
    pub(super) fn new(settings: &Settings) -> Self {
        Self {
            drain_timeout: settings.drain_timeout,
            phase: Phase::Starting(Starting {
                configuration_due_at: None,
                listings_due_at: None,
                has_configuration: false,
                unlisted_topics: vec![Topic::Operator, Topic::Upstreams, Topic::Status],
            }),
            ticks: [None; 2],
        }
    }

    /// The current phase.
    pub fn phase(&self) -> &Phase {
        &self.phase
    }

    /// Whether the load balancer should send new connections.
    pub fn is_ready(&self) -> bool {
        matches!(self.phase, Phase::Serving(_))
    }

    /// Until when a request waits for the first configuration; `None` if it need not or cannot wait for one.
    pub fn configuration_wait_ends(&self, received: Instant) -> Option<Instant> {
        let Phase::Starting(starting) = &self.phase else {
            return None;
        };
        let due_at = starting
            .configuration_due_at
            .filter(|_| !starting.has_configuration)?;
        Some(due_at.min(received + MAX_REQUEST_WAIT))
    }

    /// Whether the process is draining. Connections then close after their next answer.
    pub fn is_draining(&self) -> bool {
        matches!(self.phase, Phase::Draining(_))
    }

    /// When the process exits at the latest; `None` unless it is draining.
    pub fn exit_deadline(&self) -> Option<Instant> {
        match &self.phase {
            Phase::Draining(draining) => Some(draining.exit_deadline),
            Phase::Starting(_) | Phase::Serving(_) => None,
        }
    }

    /// Whether a request that ends at `deadline` at the latest is taken. Once the load balancer has noticed a shutdown, only a
    /// request whose deadline comes before the exit is.
    pub fn takes_request(&self, now: Instant, deadline: Instant) -> bool {
        match &self.phase {
            Phase::Draining(draining) => {
                now < draining.takes_requests_until || deadline <= draining.exit_deadline
            }
            Phase::Starting(_) | Phase::Serving(_) => true,
        }
    }

    fn on_starting(&mut self, now: Now, event: &Event, out: &mut Outbox) {
        let Phase::Starting(starting) = &mut self.phase else {
            return;
        };
        match event {
            Event::Started => {
                starting.configuration_due_at = Some(now.instant + CONFIGURATION_TIMEOUT);
                starting.listings_due_at = Some(now.instant + LISTING_TIMEOUT);
            }
            Event::ConfigurationApplied(_) => starting.has_configuration = true,
            Event::TopicListed { topic, .. } => starting.unlisted_topics.retain(|it| it != topic),
            Event::FrameReceived(frame) => {
                starting
                    .unlisted_topics
                    .retain(|it| frame.known_up_to(*it, 0).is_none());
            }
            _ => {}
        }
        if starting.can_serve(now.instant) {
            self.phase = Phase::Serving(Serving);
            out.note(Note::new(&note::SERVING));
        }
    }

    fn on_shutdown(&mut self, now: Now, out: &mut Outbox) {
        if self.is_draining() {
            return;
        }
        let requested_at = self.earliest_request(now.instant);
        let delay = now.instant.saturating_duration_since(requested_at);
        let note = Note::new(&note::DRAINING).with("grace_ms", self.drain_timeout.as_millis());
        out.note(note.with("max_delay_ms", delay.as_millis()));
        self.phase = Phase::Draining(Draining::new(now.instant, requested_at, self.drain_timeout));
    }

    /// The earliest time at which a shutdown that is handled now may have been requested. A signal waits while the process gets
    /// no processor, and the supervisor counts from its sending. The tick before the last one is certainly older than the signal:
    /// after a delay, the last tick may be handled before the signal. The signal may as well have come at the end of the delay, so
    /// no longer one is assumed than brings the exit to the last part of the drain timeout.
    fn earliest_request(&self, now: Instant) -> Instant {
        let ticked_at = self.ticks.iter().flatten().copied().next();
        let last_part = self.drain_timeout / LAST_PART_DIVISOR;
        let max_delay = MAX_SIGNAL_DELAY.min(last_part.saturating_sub(EXIT_MARGIN));
        let earliest = now.checked_sub(max_delay).unwrap_or(now);
        ticked_at.unwrap_or(now).max(earliest)
    }
}

impl Controller for Lifecycle {
    fn handle(&mut self, now: Now, event: &Event, out: &mut Outbox) {
        if matches!(event, Event::Shutdown) {
            self.on_shutdown(now, out);
        }
        if matches!(event, Event::Started | Event::Tick) {
            self.ticks = [self.ticks[1], Some(now.instant)];
        }
        self.on_starting(now, event, out);
        if let Phase::Draining(draining) = &mut self.phase
            && draining.stops_accepting_at <= now.instant
            && !std::mem::replace(&mut draining.has_stopped_accepting, true)
        {
            out.act(Action::Close);
        }
    }
}
