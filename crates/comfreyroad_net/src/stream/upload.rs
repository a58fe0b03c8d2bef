use std::rc::Rc;

use super::{progress::Progress, shared::Shared};

/// The sending of a request's body on a connection. Dropping it tells that hyper has the whole body.
#[derive(Debug)]
pub(crate) struct Upload {
    shared: Rc<Shared>,
}

impl Upload {
    pub(super) fn new(shared: Rc<Shared>) -> Self {
        shared.upload.set(Progress::Open);
        Self { shared }
    }
}

impl Drop for Upload {
    fn drop(&mut self) {
        self.shared.upload.set(Progress::Buffered);
    }
}
