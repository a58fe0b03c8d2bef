use std::time::Instant;

use super::{Plan, Request, Sent, Stage};
use crate::upstream::Slot;

/// Given a place at an upstream.
#[derive(Debug)]
pub struct Placed {
    /// Where it came from.
    pub origin: Origin,
    /// The place.
    pub slot: Slot,
}

/// How a request came to be placed.
#[derive(Debug)]
pub enum Origin {
    /// No upstream has run it.
    Planned(Plan),
    /// An upstream may have run it.
    Retrying(Plan),
}

impl Origin {
    /// What is to be done.
    pub fn plan(&self) -> &Plan {
        match self {
            Self::Planned(plan) | Self::Retrying(plan) => plan,
        }
    }

    pub(crate) fn plan_mut(&mut self) -> &mut Plan {
        match self {
            Self::Planned(plan) | Self::Retrying(plan) => plan,
        }
    }

    pub(crate) fn into_plan(self) -> Plan {
        match self {
            Self::Planned(plan) | Self::Retrying(plan) => plan,
        }
    }
}

impl Stage for Placed {
    const STEP: &'static str = "send";
}

impl Request<Placed> {
    pub(crate) fn send(self, now: Instant) -> Request<Sent> {
        self.into_stage(|placed| {
            let mut origin = placed.origin;
            let plan = origin.plan_mut();
            plan.tried_upstreams.push(placed.slot.upstream.clone());
            plan.runs += 1;
            Sent {
                origin,
                slot: placed.slot,
                sent_at: now,
            }
        })
    }
}
