use std::rc::Rc;

use super::{Allowed, Head, Request, Stage};

/// Just arrived.
#[derive(Debug)]
pub struct Received;

impl Stage for Received {
    const NAME: &'static str = "allow";
}

impl Request<Received> {
    /// A request as a front end hands it in.
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
