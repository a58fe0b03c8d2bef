use std::sync::Arc;

use super::{Plan, Planned, Request, Stage};
use crate::configuration::Route;
use crate::id::CustomerId;

/// The caller is authenticated, or the route needs no key.
#[derive(Debug)]
pub struct Authenticated {
    /// The route.
    pub route: Arc<Route>,
    /// The customer; `None` if no key is required and none matches.
    pub customer: Option<CustomerId>,
    /// Priority of the request; 0 is the most urgent.
    pub priority: u8,
}

impl Stage for Authenticated {
    const STEP: &'static str = "plan";
}

impl Request<Authenticated> {
    pub(crate) fn with_plan(self, plan: impl FnOnce(Authenticated) -> Plan) -> Request<Planned> {
        self.into_stage(|authenticated| Planned {
            plan: plan(authenticated),
        })
    }
}
