use std::sync::Arc;

use super::{Known, Request, Stage};
use crate::configuration::Route;
use crate::id::CustomerId;

/// Its route is known.
#[derive(Debug)]
pub struct Found {
    /// The route.
    pub route: Arc<Route>,
}

impl Stage for Found {
    const STEP: &'static str = "authenticate";
}

impl Request<Found> {
    pub(crate) fn know(self, customer: Option<CustomerId>, priority: u8) -> Request<Known> {
        self.into_stage(|found| Known {
            route: found.route,
            customer,
            priority,
        })
    }
}
