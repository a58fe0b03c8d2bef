use std::rc::Rc;
use std::sync::Arc;

use super::{Head, Matched, Request, Stage};
use crate::configuration::Route;

/// The request has arrived.
#[derive(Debug)]
pub struct Received;

impl Stage for Received {
    const STEP: &'static str = "find route";
}

impl Request<Received> {
    /// Creates a request from the head that a front end has decoded.
    pub fn new(head: Head) -> Self {
        Self {
            head: Rc::new(head),
            stage: Received,
        }
    }

    pub(crate) fn with_route(self, route: Arc<Route>) -> Request<Matched> {
        self.into_stage(|Received| Matched { route })
    }
}
