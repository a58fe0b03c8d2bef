use super::{Origin, Placed, Plan, Request, Stage, Unplaced};
use crate::refusal::{Code, Refusal};
use crate::upstream::Slot;

/// The request has a plan, and no upstream has run it.
#[derive(Debug)]
pub struct Planned {
    /// The plan of the request.
    pub plan: Plan,
}

impl Stage for Planned {
    const STEP: &'static str = "place";
}

impl Unplaced for Planned {
    fn plan(&self) -> &Plan {
        &self.plan
    }

    fn refuse(request: &Request<Self>, code: Code) -> Refusal {
        Refusal::not_run(request, code)
    }

    fn into_origin(self) -> Origin {
        Origin::Planned(self.plan)
    }
}

impl<S: Unplaced> Request<S> {
    pub(crate) fn with_slot(self, slot: Slot) -> Request<Placed> {
        self.into_stage(|stage| Placed {
            origin: stage.into_origin(),
            slot,
        })
    }
}
