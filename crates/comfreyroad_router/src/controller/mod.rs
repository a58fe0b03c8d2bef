//! The controllers. Each owns one part of the state and is the only one to change it.
//!
//! Every controller receives every event, updates its state, and emits actions for the outside and events for the other
//! controllers. Changes by requests (slots, counts, budgets) are made by method calls of the router.

pub mod configuration;
pub mod estimates;
pub mod evacuations;
pub mod lifecycle;
pub mod members;
pub mod quarantine;
pub mod retry;
pub mod rollouts;
pub mod sessions;
pub mod shares;
pub mod subscriptions;
pub mod upstreams;
pub mod urgencies;

use comfreyroad::clock::Now;

use crate::frame::Frame;
use crate::id::Address;
use crate::outbox::Outbox;
use crate::{Event, Settings};

/// Owns one part of the state and updates it by events.
pub trait Controller {
    /// Handles an event and adds the resulting actions and events to the outbox.
    fn handle(&mut self, now: Now, event: &Event, out: &mut Outbox);

    /// Adds this controller's part to a gossip frame for a peer.
    fn fill_frame(&mut self, now: Now, to: &Address, frame: &mut Frame) {
        let _ = (now, to, frame);
    }
}

/// All controllers of a router.
#[derive(Debug)]
pub struct Controllers {
    /// Subscriptions to the topics of the store.
    pub subscriptions: subscriptions::Subscriptions,
    /// The active configuration.
    pub configuration: configuration::Tracker,
    /// The evacuated zones.
    pub evacuations: evacuations::Evacuations,
    /// The other entries.
    pub members: members::Members,
    /// How urgent the requests of each pool are beside each other.
    pub urgencies: urgencies::Urgencies,
    /// The upstreams.
    pub upstreams: upstreams::Upstreams,
    /// What requests are likely to cost.
    pub estimates: estimates::Estimates,
    /// The parts of prompts that crash engines.
    pub quarantine: quarantine::Quarantine,
    /// The rollouts of new versions.
    pub rollouts: rollouts::Rollouts,
    /// The version that serves each session.
    pub sessions: sessions::Sessions,
    /// What customers use of the pools, and who uses more than its share.
    pub shares: shares::Shares,
    /// Budgets of extra attempts.
    pub retry_budgets: retry::Budgets,
    /// The lifecycle of the process.
    pub lifecycle: lifecycle::Lifecycle,
}

impl Controllers {
    /// Creates the controllers in their initial state.
    pub fn new(settings: &Settings) -> Self {
        Self {
            subscriptions: subscriptions::Subscriptions::new(settings),
            configuration: configuration::Tracker::default(),
            evacuations: evacuations::Evacuations::default(),
            members: members::Members::new(settings),
            urgencies: urgencies::Urgencies::default(),
            upstreams: upstreams::Upstreams::new(settings),
            estimates: estimates::Estimates::default(),
            quarantine: quarantine::Quarantine::default(),
            rollouts: rollouts::Rollouts::new(settings),
            sessions: sessions::Sessions::new(settings),
            shares: shares::Shares::new(settings),
            retry_budgets: retry::Budgets::new(settings),
            lifecycle: lifecycle::Lifecycle::new(settings),
        }
    }

    /// Passes an event to each controller, in a fixed order.
    pub fn handle(&mut self, now: Now, event: &Event, out: &mut Outbox) {
        for controller in self.all() {
            controller.handle(now, event, out);
        }
        // The quarantine depends on what the upstreams have made of the same event.
        if matches!(event, Event::Tick | Event::FrameReceived(_)) {
            self.quarantine.update(now.instant, &self.upstreams, out);
        }
        if matches!(event, Event::Tick) {
            self.shares.update(now.instant, &self.upstreams, out);
        }
    }

    /// Builds a gossip frame for a peer from each controller's part.
    pub fn build_frame(&mut self, now: Now, to: &Address) -> Frame {
        let mut frame = self.members.empty_frame();
        for controller in self.all() {
            controller.fill_frame(now, to, &mut frame);
        }
        frame
    }

    fn all(&mut self) -> [&mut dyn Controller; 13] {
        [
            &mut self.subscriptions,
            &mut self.configuration,
            &mut self.evacuations,
            &mut self.members,
            &mut self.urgencies,
            &mut self.upstreams,
            &mut self.estimates,
            &mut self.quarantine,
            &mut self.rollouts,
            &mut self.sessions,
            &mut self.shares,
            &mut self.retry_budgets,
            &mut self.lifecycle,
        ]
    }
}
