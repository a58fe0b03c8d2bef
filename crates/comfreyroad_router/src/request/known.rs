use std::sync::Arc;

use super::{Plan, Request, Routed, Stage};
use crate::configuration::Route;
use crate::id::CustomerId;

/// Known to come from a customer who may ask this.
#[derive(Debug)]
pub struct Known {
    /// The route.
    pub route: Arc<Route>,
    /// Who asks; none where no key is needed.
    pub customer: Option<CustomerId>,
    /// How urgent it is.
    pub priority: u8,
}

impl Stage for Known {
    const STEP: &'static str = "plan";
}

impl Request<Known> {
    pub(crate) fn route(self, plan: impl FnOnce(Known) -> Plan) -> Request<Routed> {
        self.into_stage(|known| Routed { plan: plan(known) })
    }
}
