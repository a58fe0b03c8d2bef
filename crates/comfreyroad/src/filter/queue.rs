//! Queue order: a request gets no slot while a call with precedence waits.

use super::{Filter, Halt, View, admit};
use crate::request::{Claimed, Request};

/// Passes a request unless a waiting call takes precedence over it.
#[derive(Debug)]
pub struct Queue;

impl Filter<Claimed> for Queue {
    type Next = Claimed;

    fn apply(
        request: Request<Claimed>,
        view: &View<'_>,
    ) -> Result<Request<Claimed>, Halt<Claimed>> {
        let ticket = admit::ticket(&request.stage().pinned, request.head(), view, false);
        if view.state.queue.is_behind(&ticket) {
            return Err(Halt::wait(request));
        }
        Ok(request)
    }
}
