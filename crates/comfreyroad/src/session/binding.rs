use std::time::Instant;

use crate::id::{CustomerId, RouteId, SessionHash, VersionId};

/// The version to which a session with an id chosen by its caller is bound.
#[derive(Clone, Debug)]
pub struct Binding {
    /// Hash of the customer, the route and the session id.
    pub session: SessionHash,
    /// The customer and the route; `None` where the binding was received from a peer.
    pub owner: Option<(CustomerId, RouteId)>,
    /// The version that answers the session.
    pub version: VersionId,
    /// When it is dropped unless another request extends it.
    pub expires_at: Instant,
}
