use std::rc::Rc;

use comfreyroad_router::Request;
use comfreyroad_router::id::{RequestId, UpstreamId};
use comfreyroad_router::request::Sent;

use crate::shared::Shared;

/// A request at an upstream. Dropped before its end, it is abandoned, as its caller has left.
#[derive(Debug)]
pub(super) struct Flight {
    pub(super) request: Request<Sent>,
    guard: Guard,
}

/// Tells the router that a request was abandoned, unless it has come to its end.
#[derive(Debug)]
struct Guard {
    shared: Rc<Shared>,
    id: RequestId,
    upstream: UpstreamId,
    is_armed: bool,
}

impl Flight {
    pub(super) fn new(shared: &Rc<Shared>, request: Request<Sent>) -> Self {
        let slot = &request.stage().slot;
        let guard = Guard {
            shared: shared.clone(),
            id: request.head().id.clone(),
            upstream: slot.upstream.clone(),
            is_armed: true,
        };
        Self { request, guard }
    }

    /// Takes the request out, as its attempt has ended.
    pub(super) fn end(mut self) -> Request<Sent> {
        self.guard.is_armed = false;
        self.request
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        if self.is_armed {
            let shared = self.shared.clone();
            shared.ask(|router, _| router.on_caller_gone(&self.id, &self.upstream));
        }
    }
}
