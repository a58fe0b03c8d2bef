use std::rc::Rc;
use std::time::Instant;

use super::{Head, Origin, Plan, Planned, Rejection, Request, Retrying, Stage};
use crate::id::{EventId, VersionId};
use crate::upstream::Slot;

/// Handed to an upstream.
#[derive(Debug)]
pub struct Sent {
    /// Where it came from.
    pub origin: Origin,
    /// The place at the upstream.
    pub slot: Slot,
    /// When it was sent.
    pub sent_at: Instant,
}

impl Sent {
    /// What is to be done.
    pub fn plan(&self) -> &Plan {
        self.origin.plan()
    }
}

impl Stage for Sent {
    const STEP: &'static str = "answer";
}

/// A request that an upstream has certainly not run.
#[derive(Debug)]
pub enum Returned {
    /// No upstream has run it.
    Planned(Request<Planned>),
    /// An upstream before may have run it.
    Retrying(Request<Retrying>),
}

impl Returned {
    /// The proof is asked for so that nothing else leads here.
    pub(super) fn new(head: Rc<Head>, origin: Origin, _: Rejection) -> Self {
        match origin {
            Origin::Planned(plan) => {
                let stage = Planned { plan };
                Self::Planned(Request { head, stage })
            }
            Origin::Retrying(plan) => {
                let stage = Retrying { plan };
                Self::Retrying(Request { head, stage })
            }
        }
    }
}

impl Request<Sent> {
    /// The caller has an event; only the same version can go on from there.
    pub(crate) fn record_delivery(&mut self, event: EventId, version: &VersionId) {
        let plan = self.stage.origin.plan_mut();
        plan.last_event_id = Some(event);
        plan.required_version = Some(version.clone());
    }

    /// Goes back, as the upstream has not run it.
    pub(crate) fn reject(self, rejection: Rejection) -> Returned {
        let mut origin = self.stage.origin;
        let plan = origin.plan_mut();
        plan.runs = plan.runs.saturating_sub(1);
        Returned::new(self.head, origin, rejection)
    }

    /// Drops the answer of a model that is not sure of it, for one of a larger model. The caller has none of it.
    pub(crate) fn escalate(self) -> Result<Request<Retrying>, Self> {
        let mut request = self.into_retry()?;
        let plan = &mut request.stage.plan;
        plan.model = plan.larger_model().cloned().or(plan.model.take());
        // Any upstream will do again.
        plan.tried_upstreams.clear();
        Ok(request)
    }

    /// Goes back with an unknown fate, which only what may be repeated can do.
    pub(crate) fn into_retry(self) -> Result<Request<Retrying>, Self> {
        if !self.stage.plan().route.idempotency.may_retry() {
            return Err(self);
        }
        Ok(self.into_stage(|sent| Retrying {
            plan: sent.origin.into_plan(),
        }))
    }
}
