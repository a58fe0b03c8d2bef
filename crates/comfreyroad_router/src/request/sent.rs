use std::rc::Rc;
use std::time::{Duration, Instant};

use super::{Head, Origin, Placed, Plan, Planned, Rejection, Request, Retrying, Stage};
use crate::answer::Milestone;
use crate::controller::shares::Hold;
use crate::id::{EventId, VersionId};
use crate::upstream::Slot;

/// Time after a rejection in which a request does not go back to an upstream that it was at before.
const RETURN_INTERVAL: Duration = Duration::from_millis(500);
/// Time after the first event that counts as the beginning of an answer.
const BEGINNING_TIME: Duration = Duration::from_millis(300);

/// The request was sent to an upstream.
#[derive(Debug)]
pub struct Sent {
    /// The stage before it was placed, with the plan.
    pub origin: Origin,
    /// The slot at the upstream.
    pub slot: Slot,
    // Counts the slot for the customer.
    pub(super) _hold: Option<Hold>,
    /// When it was sent.
    pub sent_at: Instant,
    /// Whether the first event of the answer has arrived from this upstream.
    pub has_started: bool,
    /// How far this upstream has got with the answer; `None` at its beginning.
    pub milestone: Option<Milestone>,
    // From when an event shows that the upstream has got beyond the beginning.
    pub(super) continues_at: Option<Instant>,
    /// Whether the time per event of the answer was taken before its end.
    pub has_sampled_service_time: bool,
    /// Whether the upstream was found silent.
    pub is_silent: bool,
}

impl Sent {
    /// The plan of the request.
    pub fn plan(&self) -> &Plan {
        self.origin.plan()
    }

    /// Whether it must be sent on a connection that is opened for it, as an earlier attempt has failed: what has broken one idle
    /// connection may have broken all. If this upstream fails too, the two have not failed together.
    pub fn needs_new_connection(&self) -> bool {
        self.plan().has_failed
    }
}

impl Stage for Sent {
    const STEP: &'static str = "answer";
}

/// A request that the upstream has certainly not run, back in the stage from which it was placed.
#[derive(Debug)]
pub enum Returned {
    /// No upstream has run the request.
    Planned(Request<Planned>),
    /// An earlier upstream may have run the request.
    Retrying(Request<Retrying>),
}

impl Returned {
    /// Takes the rejection as proof that the upstream has not run the request.
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

impl Returned {
    fn into_plan(self) -> Plan {
        match self {
            Self::Planned(request) => request.stage.plan,
            Self::Retrying(request) => request.stage.plan,
        }
    }
}

impl Request<Sent> {
    /// Records that the first event of the answer has arrived.
    pub(crate) fn record_start(&mut self, now: Instant) {
        self.stage.has_started = true;
        self.stage.continues_at = Some(now + BEGINNING_TIME);
    }

    /// Records the arrival of a further event. Returns whether it is the first one beyond the beginning of the answer.
    pub(crate) fn record_continuation(&mut self, now: Instant) -> bool {
        let continues_at = &mut self.stage.continues_at;
        let is_beyond = continues_at.take_if(|at| *at <= now).is_some();
        if is_beyond {
            self.stage.milestone = Some(Milestone::Continued);
        }
        is_beyond
    }

    /// Records that the time per event was taken before the end of the answer. Returns whether it was not before.
    pub(crate) fn record_service_time_sample(&mut self) -> bool {
        !std::mem::replace(&mut self.stage.has_sampled_service_time, true)
    }

    /// Records that the upstream is silent. Returns whether it was not known before.
    pub(crate) fn record_silence(&mut self) -> bool {
        !std::mem::replace(&mut self.stage.is_silent, true)
    }

    /// Records an event that the caller has received. Only an upstream of the same version can resume after it.
    pub(crate) fn record_delivery(&mut self, event: EventId, version: &VersionId) {
        self.stage.is_silent = false;
        let plan = self.stage.origin.plan_mut();
        plan.last_event_id = Some(event);
        plan.required_version = Some(version.clone());
    }

    /// Returns to the stage before placement, because the upstream has not run the request.
    pub(crate) fn reject(self, now: Instant, rejection: Rejection) -> Returned {
        let mut origin = self.stage.origin;
        let plan = origin.plan_mut();
        plan.runs = plan.runs.saturating_sub(1);
        plan.returns_at = Some(now + RETURN_INTERVAL);
        Returned::new(self.head, origin, rejection)
    }

    /// Drops the answer of a model with low confidence in favour of a larger model. The caller has received none of it.
    pub(crate) fn escalate(self) -> Result<Request<Retrying>, Self> {
        let mut request = self.into_retry()?;
        let plan = &mut request.stage.plan;
        plan.model = plan.larger_model().cloned().or(plan.model.take());
        // Every upstream is eligible again.
        plan.tried_upstreams.clear();
        Ok(request)
    }

    /// The request as it is offered to another upstream, while this attempt goes on.
    pub(crate) fn offer(&self, slot: Slot) -> Request<Placed> {
        let mut plan = self.stage.plan().clone();
        plan.has_failed = true;
        plan.has_moved = true;
        Request {
            head: Rc::clone(&self.head),
            stage: Placed {
                origin: Origin::Retrying(plan),
                slot,
            },
        }
    }

    /// Stays at this upstream, as the one to which the request was offered has not taken it.
    pub(crate) fn stay(&mut self, declined: Returned) {
        let declined = declined.into_plan();
        let plan = self.stage.origin.plan_mut();
        plan.tried_upstreams = declined.tried_upstreams;
        plan.returns_at = declined.returns_at;
        plan.runs = declined.runs;
    }

    /// Leaves a silent upstream for another one.
    pub(crate) fn leave(self) -> Result<Request<Retrying>, Self> {
        let mut request = self.fail()?;
        request.stage.plan.has_moved = true;
        Ok(request)
    }

    /// Prepares a retry after a failed attempt, which may have run.
    pub(crate) fn fail(self) -> Result<Request<Retrying>, Self> {
        let mut request = self.into_retry()?;
        request.stage.plan.has_failed = true;
        Ok(request)
    }

    /// Prepares a retry of a request that may have run. Fails if the route does not allow a retry.
    fn into_retry(self) -> Result<Request<Retrying>, Self> {
        if !self.stage.plan().route.idempotency.may_retry() {
            return Err(self);
        }
        Ok(self.into_stage(|sent| Retrying {
            plan: sent.origin.into_plan(),
        }))
    }
}
