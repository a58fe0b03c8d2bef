use super::{Origin, Plan, Request, Stage, Unplaced};
use crate::refusal::{Code, Refusal};

/// An upstream may have run the request, and the request may be sent again.
#[derive(Debug)]
pub struct Retrying {
    /// The plan of the request.
    pub plan: Plan,
}

impl Stage for Retrying {
    const STEP: &'static str = "retry";
}

impl Unplaced for Retrying {
    fn plan(&self) -> &Plan {
        &self.plan
    }

    fn refuse(request: &Request<Self>, code: Code) -> Refusal {
        Refusal::may_have_run(request, code)
    }

    fn into_origin(self) -> Origin {
        Origin::Retrying(self.plan)
    }
}
