use std::time::SystemTime;

use crate::id::{Address, BootId, EntryId, ZoneId};
use crate::settings::Settings;

/// A heartbeat of an entry, disseminated by gossip.
#[derive(Clone, Debug, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct Heartbeat {
    /// The entry.
    #[cfg_attr(feature = "serde", serde(rename = "e"))]
    pub entry: EntryId,
    /// The start of its process.
    #[cfg_attr(feature = "serde", serde(rename = "b"))]
    pub boot: BootId,
    /// Its availability zone.
    #[cfg_attr(feature = "serde", serde(rename = "z"))]
    pub zone: ZoneId,
    /// Its IP number and port.
    #[cfg_attr(feature = "serde", serde(rename = "a"))]
    pub address: Address,
    /// When it started, by its own clock. A later start supersedes an earlier one.
    #[cfg_attr(feature = "serde", serde(rename = "t", with = "super::millis"))]
    pub started_at: SystemTime,
    /// Sequence number, increased with each heartbeat of one start.
    #[cfg_attr(feature = "serde", serde(rename = "c"))]
    pub sequence: u64,
    /// Whether it accepts new work.
    #[cfg_attr(feature = "serde", serde(rename = "s"))]
    pub serving: bool,
    /// Whether some entry got no answer from it at this sequence number.
    #[cfg_attr(feature = "serde", serde(rename = "q", default))]
    pub suspect: bool,
}

impl Heartbeat {
    /// The heartbeat of an entry before it has sent any.
    pub fn initial(settings: &Settings) -> Self {
        Self {
            entry: settings.entry.clone(),
            boot: settings.boot.clone(),
            zone: settings.zone.clone(),
            address: settings.address.clone(),
            started_at: SystemTime::UNIX_EPOCH,
            sequence: 0,
            serving: false,
            suspect: false,
        }
    }

    /// Whether this heartbeat supersedes another one of the same entry.
    pub fn is_newer_than(&self, other: &Self) -> bool {
        self.order() > other.order()
    }

    /// A suspicion supersedes the heartbeat with the same sequence number, but no later one.
    fn order(&self) -> (SystemTime, u64, bool) {
        (self.started_at, self.sequence, self.suspect)
    }
}
