use std::sync::Arc;

use super::{Plan, Planned, Request, Stage};
use crate::configuration::Route;
use crate::id::CustomerId;

/// Known to come from a customer who may ask this.
#[derive(Debug)]
pub struct Authenticated {
    /// The route.
    pub route: Arc<Route>,
    /// Who asks; none where no key is needed.
    pub customer: Option<CustomerId>,
    /// How urgent it is.
    pub priority: u8,
}

impl Stage for Authenticated {
    const STEP: &'static str = "plan";
}

impl Request<Authenticated> {
    pub(crate) fn with_plan(self, plan: impl FnOnce(Authenticated) -> Plan) -> Request<Planned> {
        self.into_stage(|known| Planned { plan: plan(known) })
    }
}
