use std::rc::Rc;

use super::{Allowed, Head, Request, Stage};

/// The request has just arrived.
#[derive(Debug)]
pub struct Received;

impl Stage for Received {
    const NAME: &'static str = "allow";
}

impl Request<Received> {
    /// Creates a request from what the front end received.
    pub fn new(head: Head) -> Self {
        Self {
            head: Rc::new(head),
            stage: Received,
        }
    }

    pub(crate) fn allow(self, allowed: Allowed) -> Request<Allowed> {
        self.into_stage(|Received| allowed)
    }
}
