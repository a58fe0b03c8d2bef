use std::time::SystemTime;

use crate::id::{Address, BootId, EntryId, ZoneId};
use crate::settings::Settings;

/// A heartbeat of an entry, passed on by others.
#[derive(Clone, Debug, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct Heartbeat {
    /// The entry.
    #[cfg_attr(feature = "serde", serde(rename = "e"))]
    pub entry: EntryId,
    /// Its start.
    #[cfg_attr(feature = "serde", serde(rename = "b"))]
    pub boot: BootId,
    /// Its zone.
    #[cfg_attr(feature = "serde", serde(rename = "z"))]
    pub zone: ZoneId,
    /// Its IP number and port.
    #[cfg_attr(feature = "serde", serde(rename = "a"))]
    pub address: Address,
    /// When it started, by its own clock: a later start replaces an earlier one.
    #[cfg_attr(feature = "serde", serde(rename = "t", with = "super::millis"))]
    pub started_at: SystemTime,
    /// Rises with each beat of one start.
    #[cfg_attr(feature = "serde", serde(rename = "c"))]
    pub count: u64,
    /// Whether it takes new work.
    #[cfg_attr(feature = "serde", serde(rename = "s"))]
    pub serving: bool,
    /// Whether someone got no answer from it at this count.
    #[cfg_attr(feature = "serde", serde(rename = "q", default))]
    pub suspect: bool,
}

impl Heartbeat {
    /// The beat of an entry that has not begun to count.
    pub fn initial(settings: &Settings) -> Self {
        Self {
            entry: settings.entry.clone(),
            boot: settings.boot.clone(),
            zone: settings.zone.clone(),
            address: settings.address.clone(),
            started_at: SystemTime::UNIX_EPOCH,
            count: 0,
            serving: false,
            suspect: false,
        }
    }

    /// Whether this says something newer than another beat of the same entry.
    pub fn is_newer_than(&self, other: &Self) -> bool {
        self.order() > other.order()
    }

    /// A suspicion holds against the beat that it is about, and against no later one.
    fn order(&self) -> (SystemTime, u64, bool) {
        (self.started_at, self.count, self.suspect)
    }
}
