use super::{Digest, Heartbeat, Pins, RulesStatus};
use crate::id::{Address, BootId, EntryId, UpstreamId, ZoneId};
use crate::quality::Count;
use crate::record::{Bill, Key};

/// One message between two entries.
#[derive(Clone, Debug, Default, PartialEq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct Frame {
    /// The sender.
    pub from: EntryId,
    /// The start of the sender's process.
    pub boot: BootId,
    /// The sender's availability zone.
    pub zone: ZoneId,
    /// The sender's IP number and port.
    pub address: Address,
    /// Whether the sender requests a full sync: all heartbeats and digests that the receiver has.
    #[cfg_attr(
        feature = "serde",
        serde(
            rename = "wants_all",
            default,
            skip_serializing_if = "std::ops::Not::not"
        )
    )]
    pub wants_full_sync: bool,
    /// Sequence number of the frame, per sender.
    #[cfg_attr(feature = "serde", serde(rename = "number", default))]
    pub sequence: u64,
    /// Sequence number of the newest frame that the sender received, if the receiver sent it.
    #[cfg_attr(
        feature = "serde",
        serde(rename = "answers", default, skip_serializing_if = "Option::is_none")
    )]
    pub acknowledged: Option<u64>,
    /// Whether the frame contains only rules and bills. The reply is limited in the same way.
    #[cfg_attr(
        feature = "serde",
        serde(
            rename = "is_brief",
            default,
            skip_serializing_if = "std::ops::Not::not"
        )
    )]
    pub is_rules_only: bool,
    /// Heartbeats of the sender and of some other entries.
    #[cfg_attr(
        feature = "serde",
        serde(rename = "beats", default, skip_serializing_if = "Vec::is_empty")
    )]
    pub heartbeats: Vec<Heartbeat>,
    /// Number of entries that the sender knows.
    #[cfg_attr(feature = "serde", serde(rename = "members", default))]
    pub member_count: u32,
    /// Upstreams that may have restarted.
    #[cfg_attr(
        feature = "serde",
        serde(rename = "doubts", default, skip_serializing_if = "Vec::is_empty")
    )]
    pub suspected_restarts: Vec<UpstreamId>,
    /// Summaries of some upstreams.
    #[cfg_attr(
        feature = "serde",
        serde(default, skip_serializing_if = "Vec::is_empty")
    )]
    pub digests: Vec<Digest>,
    /// The sender's state of the rules.
    #[cfg_attr(feature = "serde", serde(rename = "news", default))]
    pub rules: RulesStatus,
    /// Bills that the receiver is asked to store until they are on the log.
    #[cfg_attr(
        feature = "serde",
        serde(rename = "keep", default, skip_serializing_if = "Vec::is_empty")
    )]
    pub bills_to_store: Vec<Bill>,
    /// Acknowledgements of bills that the sender stores for the receiver.
    #[cfg_attr(
        feature = "serde",
        serde(rename = "kept", default, skip_serializing_if = "Vec::is_empty")
    )]
    pub stored_bills: Vec<Key>,
    /// Bills that the receiver no longer needs to store.
    #[cfg_attr(
        feature = "serde",
        serde(rename = "done", default, skip_serializing_if = "Vec::is_empty")
    )]
    pub released_bills: Vec<Key>,
    /// Sessions with ids chosen by their callers whose version differs from the one that they would get now.
    #[cfg_attr(feature = "serde", serde(default))]
    pub pins: Vec<Pins>,
    /// Counts of rated answers that the receiver may not have.
    #[cfg_attr(feature = "serde", serde(default))]
    pub counts: Vec<Count>,
    /// Hash of all counts of the sender, to detect differences.
    #[cfg_attr(feature = "serde", serde(default))]
    pub counts_hash: u64,
}
