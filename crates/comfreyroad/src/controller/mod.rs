//! The controllers. Each of them is the only writer of its part of the state.
//!
//! A controller handles every event, updates its state, and emits actions for the outside and events for the other
//! controllers. Controllers do not call each other; all of them see the same events in the same order.

pub mod appends;
pub mod budgets;
pub mod claim;
pub mod coverage;
pub mod latencies;
pub mod ledger;
pub mod lifecycle;
pub mod limits;
pub mod log;
pub mod members;
pub mod quality;
pub mod queue;

pub mod regression;
pub mod rules;
pub mod sessions;
pub mod term;
pub mod trace;
pub mod upstreams;

use crate::clock::Now;
use crate::event::Event;
use crate::frame::Frame;
use crate::id::{Address, EntryId};
use crate::outbox::Outbox;
use crate::settings::Settings;

/// Owns one part of the state.
pub trait Controller {
    /// Handles an event and adds the resulting actions and events to the outbox.
    fn handle(&mut self, now: Now, event: &Event, out: &mut Outbox);

    /// Adds this controller's part to a frame for a peer.
    fn fill(&mut self, now: Now, to: &Address, frame: &mut Frame) {
        let _ = (now, to, frame);
    }
}

/// All controllers of an entry.
#[derive(Debug)]
pub struct Controllers {
    /// The phase and readiness of the entry.
    pub lifecycle: lifecycle::Lifecycle,
    /// The rules in force and their freshness.
    pub rules: rules::Rules,
    /// The other entries.
    pub members: members::Members,
    /// The upstreams and their capacity.
    pub upstreams: upstreams::Upstreams,
    /// Claims of requests that may run at most once.
    pub claims: claim::Claims,
    /// Bills and the totals of customers.
    pub ledger: ledger::Ledger,
    /// Sessions and their versions.
    pub sessions: sessions::Sessions,
    /// The reader of the log.
    pub log: log::Reader,
    /// Appends to the log.
    pub appends: appends::Appends,
    /// Calls that wait for a slot.
    pub queue: queue::Queue,
    /// Open calls and bytes against the limits.
    pub limits: limits::Limits,
    /// Budgets for retries and hedges.
    pub budgets: budgets::Budgets,
    /// Recent latencies of answers.
    pub latencies: latencies::Latencies,
    /// Traces of recent calls.
    pub traces: trace::Traces,
    /// The end of the venture's term.
    pub term: term::Term,
    /// Counts of rated answers, and the rating service.
    pub quality: quality::Quality,
    /// The detection of versions that turn out bad.
    pub regressions: regression::Detector,
    identity: Identity,
}

/// The identity of the entry, sent in every frame.
#[derive(Clone, Debug)]
struct Identity {
    entry: EntryId,
    boot: crate::id::BootId,
    zone: crate::id::ZoneId,
    address: Address,
}

impl Controllers {
    /// Creates the controllers in their initial state.
    pub fn new(settings: &Settings) -> Self {
        Self {
            lifecycle: lifecycle::Lifecycle::new(settings),
            rules: rules::Rules::new(settings),
            members: members::Members::new(settings),
            upstreams: upstreams::Upstreams::new(settings),
            claims: claim::Claims::new(settings),
            ledger: ledger::Ledger::new(settings),
            sessions: sessions::Sessions::new(settings),
            log: log::Reader::default(),
            queue: queue::Queue::new(settings),
            limits: limits::Limits::new(settings),
            budgets: budgets::Budgets::new(settings),
            latencies: latencies::Latencies::default(),
            traces: trace::Traces::default(),
            term: term::Term::new(settings),
            quality: quality::Quality::new(settings),
            regressions: regression::Detector::new(settings),
            appends: appends::Appends::new(settings),
            identity: Identity {
                entry: settings.entry.clone(),
                boot: settings.boot.clone(),
                zone: settings.zone.clone(),
                address: settings.address.clone(),
            },
        }
    }

    /// Passes an event to each controller, in a fixed order.
    pub fn handle(&mut self, now: Now, event: &Event, out: &mut Outbox) {
        for controller in self.all() {
            controller.handle(now, event, out);
        }
    }

    /// Builds a frame for a peer with the part of each controller.
    pub fn frame(&mut self, now: Now, to: &Address) -> Frame {
        let mut frame = self.empty_frame();
        for controller in self.all() {
            controller.fill(now, to, &mut frame);
        }
        frame
    }

    /// Builds a frame for a peer with the parts of the rules and the ledger only.
    pub fn brief_frame(&mut self, now: Now, to: &Address) -> Frame {
        let mut frame = self.empty_frame();
        frame.is_rules_only = true;
        self.rules.fill(now, to, &mut frame);
        self.ledger.fill(now, to, &mut frame);
        frame
    }

    fn empty_frame(&self) -> Frame {
        let identity = self.identity.clone();
        Frame {
            from: identity.entry,
            boot: identity.boot,
            zone: identity.zone,
            address: identity.address,
            ..Frame::default()
        }
    }

    fn all(&mut self) -> [&mut dyn Controller; 17] {
        [
            &mut self.log,
            &mut self.rules,
            &mut self.members,
            &mut self.upstreams,
            &mut self.claims,
            &mut self.ledger,
            &mut self.sessions,
            &mut self.appends,
            &mut self.queue,
            &mut self.limits,
            &mut self.budgets,
            &mut self.latencies,
            &mut self.traces,
            &mut self.term,
            &mut self.quality,
            &mut self.regressions,
            &mut self.lifecycle,
        ]
    }
}
