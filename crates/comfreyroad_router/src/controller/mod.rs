//! The controllers, each the only writer of its state.
//!
//! A controller takes every event, keeps what concerns it, and answers with actions for the outside and events for the
//! other controllers. What a request changes (places, counts, budgets) it changes by the router's calls.

pub mod configuration;
pub mod evacuations;
pub mod lifecycle;
pub mod members;
pub mod retry;
pub mod rollouts;
pub mod sessions;
pub mod subscriptions;
pub mod upstreams;

use comfreyroad::clock::Now;

use crate::frame::Frame;
use crate::id::Address;
use crate::outbox::Outbox;
use crate::{Event, Settings};

/// Keeps one part of the state.
pub trait Controller {
    /// Takes an event and adds to the outbox what follows from it.
    fn handle(&mut self, now: Now, event: &Event, out: &mut Outbox);

    /// Adds this controller's part to a frame for a peer.
    fn fill_frame(&mut self, now: Now, to: &Address, frame: &mut Frame) {
        let _ = (now, to, frame);
    }
}

/// All controllers of a router.
#[derive(Debug)]
pub struct Controllers {
    /// What was read of the store's topics.
    pub subscriptions: subscriptions::Subscriptions,
    /// The configuration in force.
    pub configuration: configuration::Tracker,
    /// The zones that get nothing.
    pub evacuations: evacuations::Evacuations,
    /// The other entries.
    pub members: members::Members,
    /// The upstreams.
    pub upstreams: upstreams::Upstreams,
    /// Rollouts under way.
    pub rollouts: rollouts::Rollouts,
    /// The versions that sessions have.
    pub sessions: sessions::Sessions,
    /// Budgets of extra sendings.
    pub retry_budgets: retry::Budgets,
    /// The phase of the process.
    pub lifecycle: lifecycle::Lifecycle,
}

impl Controllers {
    /// Controllers that know nothing yet.
    pub fn new(settings: &Settings) -> Self {
        Self {
            subscriptions: subscriptions::Subscriptions::new(settings),
            configuration: configuration::Tracker::default(),
            evacuations: evacuations::Evacuations::default(),
            members: members::Members::new(settings),
            upstreams: upstreams::Upstreams::new(settings),
            rollouts: rollouts::Rollouts::new(settings),
            sessions: sessions::Sessions::new(settings),
            retry_budgets: retry::Budgets::new(settings),
            lifecycle: lifecycle::Lifecycle::new(settings),
        }
    }

    /// Lets each controller take an event, in a fixed order.
    pub fn handle(&mut self, now: Now, event: &Event, out: &mut Outbox) {
        for controller in self.all() {
            controller.handle(now, event, out);
        }
    }

    /// A frame for a peer, with each controller's part.
    pub fn build_frame(&mut self, now: Now, to: &Address) -> Frame {
        let mut frame = self.members.empty_frame();
        for controller in self.all() {
            controller.fill_frame(now, to, &mut frame);
        }
        frame
    }

    fn all(&mut self) -> [&mut dyn Controller; 9] {
        [
            &mut self.subscriptions,
            &mut self.configuration,
            &mut self.evacuations,
            &mut self.members,
            &mut self.upstreams,
            &mut self.rollouts,
            &mut self.sessions,
            &mut self.retry_budgets,
            &mut self.lifecycle,
        ]
    }
}
