use comfreyroad_router::id::{RequestId, UpstreamId};

/// A request that is open: its head has been read, and its answer has not ended.
#[derive(Clone, Debug)]
pub struct Open {
    /// The id that the caller sent.
    pub id: RequestId,
    /// The upstream to which it was sent last; `None` if it was sent to none.
    pub upstream: Option<UpstreamId>,
    /// Whether the caller has a part of its answer.
    pub has_started: bool,
}
