use std::sync::Arc;
use std::time::Instant;

use super::Rank;
use crate::configuration::Route;
use crate::controller::shares::Standing;
use crate::id::{CustomerId, EventId, ModelId, PoolId, UpstreamId, VersionId};

/// How a request is to be served, and the attempts so far.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The route.
    pub route: Arc<Route>,
    /// The customer; `None` if no key is required and none matches.
    pub customer: Option<CustomerId>,
    /// Priority, from the route or customer, the length of the prompt and the standing; 0 is the most urgent.
    pub priority: u8,
    /// What it may claim of the pool's room for a larger model.
    pub rank: Rank,
    /// Where the customer stood with its share of the pool when the request arrived.
    pub standing: Standing,
    /// The pool that serves the request.
    pub pool: PoolId,
    /// The model that answers, if the router chooses it.
    pub model: Option<ModelId>,
    /// When the answer must be complete.
    pub deadline: Instant,
    /// The version that must continue the answer, because the caller has received a part of the answer from it.
    pub required_version: Option<VersionId>,
    /// The last event that the caller has received.
    pub last_event_id: Option<EventId>,
    /// Upstreams to which the request was sent or which refused the connection. They are not tried again.
    pub tried_upstreams: Vec<UpstreamId>,
    /// Number of attempts in which an upstream may have run the request.
    pub runs: u32,
    /// Whether an attempt has failed.
    pub has_failed: bool,
    /// Whether it has left a silent upstream, which would have gone on, for another one.
    pub has_moved: bool,
    /// When the request may go back to an upstream that has rejected it; `None` if none has.
    pub returns_at: Option<Instant>,
}

/// Rejected attempts that a request may have beyond the maximum number of attempts of its route, unless it has progress.
const MAX_REJECTIONS: u32 = 2;

impl Plan {
    /// Whether the request may be sent to one more upstream.
    pub fn has_attempts_left(&self) -> bool {
        let most = self.route.max_attempts.max(1);
        let attempts = self.tried_upstreams.len() as u32;
        self.runs < most && (self.has_progress() || attempts < most + MAX_REJECTIONS)
    }

    /// Whether a refusal would throw work away: the caller has a part of the answer, or an upstream that worked on it was left.
    pub fn has_progress(&self) -> bool {
        self.required_version.is_some() || self.has_moved
    }

    /// Whether the request was sent to an upstream before.
    pub fn is_retry(&self) -> bool {
        self.runs > 0 || !self.tried_upstreams.is_empty()
    }

    /// The model to escalate to when a smaller model has low confidence in its answer.
    pub fn larger_model(&self) -> Option<&ModelId> {
        let largest = self.route.models.last()?;
        let model = self.model.as_ref()?;
        (model != largest).then_some(largest)
    }
}
