use std::sync::Arc;

use crate::id::ZoneId;

/// An availability zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Zone {
    /// Its name.
    pub id: ZoneId,
    /// The region that it lies in; empty where there is one only.
    pub region: Arc<str>,
    /// Whether operators have taken it out.
    pub out: bool,
}
