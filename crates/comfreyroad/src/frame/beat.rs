use crate::id::{Address, BootId, EntryId, ZoneId};

/// A heartbeat of an entry, passed on by others.
#[derive(Clone, Debug, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct Beat {
    /// The entry.
    pub entry: EntryId,
    /// Its start.
    pub boot: BootId,
    /// Its zone.
    pub zone: ZoneId,
    /// Its IP number and port.
    pub address: Address,
    /// Rises with each beat of one start.
    pub count: u64,
    /// Whether it takes new work.
    pub serving: bool,
}
