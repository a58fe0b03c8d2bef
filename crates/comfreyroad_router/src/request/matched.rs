use std::sync::Arc;

use super::{Authenticated, Request, Stage};
use crate::configuration::Route;
use crate::id::CustomerId;

/// The route of the request is known.
#[derive(Debug)]
pub struct Matched {
    /// The route.
    pub route: Arc<Route>,
}

impl Stage for Matched {
    const STEP: &'static str = "authenticate";
}

impl Request<Matched> {
    pub(crate) fn with_customer(
        self,
        customer: Option<CustomerId>,
        priority: u8,
    ) -> Request<Authenticated> {
        self.into_stage(|matched| Authenticated {
            route: matched.route,
            customer,
            priority,
        })
    }
}
