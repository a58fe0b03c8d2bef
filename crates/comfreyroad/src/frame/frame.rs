use super::{Digest, Heartbeat, Pins, RulesStatus};
use crate::id::{Address, BootId, EntryId, UpstreamId, ZoneId};
use crate::quality::Count;
use crate::record::{Bill, Key};

/// One message between two entries.
#[derive(Clone, Debug, Default, PartialEq)]
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
    /// Whether the sender asks for all heartbeats that the receiver knows.
    #[cfg_attr(
        feature = "serde",
        serde(
            rename = "wants_all",
            default,
            skip_serializing_if = "std::ops::Not::not"
        )
    )]
    pub wants_all_heartbeats: bool,
    /// Number of this frame among all that the sender has sent.
    #[cfg_attr(feature = "serde", serde(rename = "number", default))]
    pub sequence: u64,
    /// Number of the newest frame that the sender got, where it came from the receiver.
    #[cfg_attr(
        feature = "serde",
        serde(rename = "answers", default, skip_serializing_if = "Option::is_none")
    )]
    pub acknowledged: Option<u64>,
    /// Whether only the rules and bills are spoken of; answered likewise.
    #[cfg_attr(
        feature = "serde",
        serde(
            rename = "is_brief",
            default,
            skip_serializing_if = "std::ops::Not::not"
        )
    )]
    pub is_rules_only: bool,
    /// Heartbeats: the sender's own and some that it has heard.
    #[cfg_attr(
        feature = "serde",
        serde(rename = "beats", default, skip_serializing_if = "Vec::is_empty")
    )]
    pub heartbeats: Vec<Heartbeat>,
    /// How many entries the sender knows.
    #[cfg_attr(feature = "serde", serde(rename = "members", default))]
    pub member_count: u32,
    /// Upstreams of which something hints at a new start.
    #[cfg_attr(
        feature = "serde",
        serde(rename = "doubts", default, skip_serializing_if = "Vec::is_empty")
    )]
    pub suspected_restarts: Vec<UpstreamId>,
    /// What the sender knows of some upstreams.
    #[cfg_attr(
        feature = "serde",
        serde(default, skip_serializing_if = "Vec::is_empty")
    )]
    pub digests: Vec<Digest>,
    /// The sender's knowledge of the rules.
    #[cfg_attr(feature = "serde", serde(rename = "news", default))]
    pub rules: RulesStatus,
    /// Bills that the receiver is asked to keep until they are on the log.
    #[cfg_attr(
        feature = "serde",
        serde(rename = "keep", default, skip_serializing_if = "Vec::is_empty")
    )]
    pub bills_to_store: Vec<Bill>,
    /// Bills that the sender keeps for the receiver.
    #[cfg_attr(
        feature = "serde",
        serde(rename = "kept", default, skip_serializing_if = "Vec::is_empty")
    )]
    pub stored_bills: Vec<Key>,
    /// Bills that the receiver need not keep any longer.
    #[cfg_attr(
        feature = "serde",
        serde(rename = "done", default, skip_serializing_if = "Vec::is_empty")
    )]
    pub released_bills: Vec<Key>,
    /// Sessions of callers' own ids that keep a version which they would not get now.
    #[cfg_attr(feature = "serde", serde(default))]
    pub pins: Vec<Pins>,
    /// Counts of rated answers that the receiver may lack.
    #[cfg_attr(feature = "serde", serde(default))]
    pub counts: Vec<Count>,
    /// Hash of all counts that the sender has.
    #[cfg_attr(feature = "serde", serde(default))]
    pub counts_hash: u64,
}
