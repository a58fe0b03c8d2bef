use std::cell::Cell;
use std::rc::Rc;

use comfreyroad_router::Request;
use comfreyroad_router::id::{RequestId, UpstreamId};
use comfreyroad_router::request::Sent;

use crate::shared::Shared;

/// A request that was sent to an upstream. If dropped before [`Call::end`], it counts as abandoned by the caller,
/// unless the process ends.
#[derive(Debug)]
pub(super) struct Call {
    pub(super) request: Request<Sent>,
    guard: Guard,
}

/// Reports a request as abandoned when dropped while armed.
#[derive(Debug)]
struct Guard {
    shared: Rc<Shared>,
    id: RequestId,
    upstream: UpstreamId,
    is_armed: bool,
    // Whether the upstream to which the request was offered counts as its own; `None` if it was not offered.
    is_taken: Option<Rc<Cell<bool>>>,
}

impl Call {
    pub(super) fn new(shared: &Rc<Shared>, request: Request<Sent>) -> Self {
        let slot = &request.stage().slot;
        let guard = Guard {
            shared: shared.clone(),
            id: request.head().id.clone(),
            upstream: slot.upstream.clone(),
            is_armed: true,
            is_taken: None,
        };
        Self { request, guard }
    }

    /// A request that was offered to an upstream, and has another one until `is_taken`.
    pub(super) fn offered(
        shared: &Rc<Shared>,
        request: Request<Sent>,
        is_taken: Rc<Cell<bool>>,
    ) -> Self {
        let mut call = Self::new(shared, request);
        call.guard.is_taken = Some(is_taken);
        call
    }

    /// Ends the attempt and returns the request.
    pub(super) fn end(mut self) -> Request<Sent> {
        self.guard.is_armed = false;
        self.request
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        let is_own = self.is_taken.as_ref().is_none_or(|it| it.get());
        if self.is_armed && is_own && !self.shared.registry.has_ended() {
            let shared = self.shared.clone();
            shared.with_router(|router, _| router.on_caller_gone(&self.id, &self.upstream));
        }
    }
}
