use std::time::Instant;

use super::{Plan, Request, Sent, Stage};
use crate::controller::shares::Hold;
use crate::upstream::Slot;

/// The request has a slot at an upstream.
#[derive(Debug)]
pub struct Placed {
    /// The stage before, with the plan.
    pub origin: Origin,
    /// The slot.
    pub slot: Slot,
}

/// The stage from which a request was placed.
#[derive(Debug)]
pub enum Origin {
    /// See [`Planned`](super::Planned): no upstream has run the request.
    Planned(Plan),
    /// See [`Retrying`](super::Retrying): an upstream may have run the request.
    Retrying(Plan),
}

impl Origin {
    /// The plan of the request.
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
    pub(crate) fn send(self, now: Instant, hold: Option<Hold>) -> Request<Sent> {
        self.into_stage(|placed| {
            let mut origin = placed.origin;
            let plan = origin.plan_mut();
            plan.tried_upstreams.push(placed.slot.upstream.clone());
            plan.runs += 1;
            Sent {
                origin,
                slot: placed.slot,
                _hold: hold,
                sent_at: now,
                has_started: false,
                milestone: None,
                continues_at: None,
                has_sampled_service_time: false,
                is_silent: false,
            }
        })
    }
}
