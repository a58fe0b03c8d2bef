use std::sync::Arc;

use crate::id::ZoneId;

/// An availability zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Zone {
    /// Name of the zone.
    pub id: ZoneId,
    /// The region of the zone. Empty if there is only one region.
    pub region: Arc<str>,
    /// Whether the operators have taken the zone out of service.
    pub out: bool,
}
