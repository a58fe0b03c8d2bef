use super::{Origin, Plan, Request, Stage, Unplaced};
use crate::refusal::{Code, Refusal};

/// Sent before, with an unknown or broken end, and free to be sent again.
#[derive(Debug)]
pub struct Retrying {
    /// What is to be done.
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
