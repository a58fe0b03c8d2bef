use super::{Beat, News};
use crate::id::{Address, BootId, EntryId, ZoneId};
use crate::record::{Bill, Key};

/// One message between two entries.
#[derive(Clone, Debug, PartialEq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct Frame {
    /// Who sends it.
    pub from: EntryId,
    /// The sender's start.
    pub boot: BootId,
    /// The sender's zone.
    pub zone: ZoneId,
    /// The sender's IP number and port.
    pub address: Address,
    /// Number of this frame among all that the sender has sent.
    #[cfg_attr(feature = "serde", serde(default))]
    pub number: u64,
    /// Number of the newest frame that the sender got, where it came from the receiver.
    #[cfg_attr(feature = "serde", serde(default))]
    pub answers: Option<u64>,
    /// Whether only the rules are spoken of; answered likewise.
    #[cfg_attr(feature = "serde", serde(default))]
    pub is_brief: bool,
    /// Heartbeats: the sender's own and some that it has heard.
    #[cfg_attr(feature = "serde", serde(default))]
    pub beats: Vec<Beat>,
    /// The sender's knowledge of the rules.
    #[cfg_attr(feature = "serde", serde(default))]
    pub news: News,
    /// Bills that the receiver is asked to keep until they are on the log.
    #[cfg_attr(feature = "serde", serde(default))]
    pub keep: Vec<Bill>,
    /// Bills that the sender keeps for the receiver.
    #[cfg_attr(feature = "serde", serde(default))]
    pub kept: Vec<Key>,
    /// Bills that the receiver need not keep any longer.
    #[cfg_attr(feature = "serde", serde(default))]
    pub done: Vec<Key>,
}
