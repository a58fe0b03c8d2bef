use std::sync::Arc;
use std::time::Instant;

use crate::configuration::Route;
use crate::id::{CustomerId, EventId, ModelId, PoolId, UpstreamId, VersionId};

/// What is to be done with a request, and what was done so far.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The route.
    pub route: Arc<Route>,
    /// Who asks; none where no key is needed.
    pub customer: Option<CustomerId>,
    /// How urgent it is, by its route or customer and by the length of its prompt; 0 is the most urgent.
    pub priority: u8,
    /// The pool that answers.
    pub pool: PoolId,
    /// The model that answers, where it is this program's choice.
    pub model: Option<ModelId>,
    /// When the caller must have the end of its answer.
    pub deadline: Instant,
    /// The version that must answer, as a part of the answer came from it.
    pub required_version: Option<VersionId>,
    /// The last event that the caller has.
    pub last_event_id: Option<EventId>,
    /// Upstreams to which the request was sent, or that took no connection.
    pub tried_upstreams: Vec<UpstreamId>,
    /// Times that the request was sent and may have begun to run.
    pub runs: u32,
}

/// Upstreams that may turn a request away beyond those that may run it.
const MAX_REJECTIONS: u32 = 2;

impl Plan {
    /// Whether it may be sent to one more upstream.
    pub fn has_attempts_left(&self) -> bool {
        let most = self.route.max_attempts.max(1);
        self.runs < most && (self.tried_upstreams.len() as u32) < most + MAX_REJECTIONS
    }

    /// Whether it was handed to an upstream before.
    pub fn is_retry(&self) -> bool {
        self.runs > 0 || !self.tried_upstreams.is_empty()
    }

    /// The model that answers in place of a smaller one which is not sure of its answer.
    pub fn larger_model(&self) -> Option<&ModelId> {
        let largest = self.route.models.last()?;
        let model = self.model.as_ref()?;
        (model != largest).then_some(largest)
    }
}
