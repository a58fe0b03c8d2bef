use std::time::Instant;

use crate::id::{CustomerId, RouteId, SessionHash, VersionId};

/// A session of a caller's own id that was seen not long ago.
#[derive(Clone, Debug)]
pub struct Known {
    /// Hash of customer, route and id.
    pub session: SessionHash,
    /// Whose session it is; not known of one that a peer has told of.
    pub asked: Option<(CustomerId, RouteId)>,
    /// The version that it keeps.
    pub version: VersionId,
    /// When it is forgotten unless it asks again.
    pub until: Instant,
}
