//! Whose turn it is: nothing gets a slot before what waits with a better right to it.

use super::{Filter, Halt, View, admit};
use crate::request::{Claimed, Request};

/// Lets pass what no waiting call must go before.
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
