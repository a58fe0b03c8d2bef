use std::time::Duration;

use super::{LogOutage, Text};
use crate::id::{Generation, Offset, VersionId};

/// The state of the rules at an entry.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct RulesStatus {
    /// The generation in force.
    pub generation: Generation,
    /// The sender has applied all records before this offset; `None` while it does not know the rules in force.
    #[cfg_attr(feature = "serde", serde(default))]
    pub next: Option<Offset>,
    /// The highest such offset of any entry, where the sender does not have the rules as of that offset.
    #[cfg_attr(
        feature = "serde",
        serde(default, skip_serializing_if = "Option::is_none")
    )]
    pub newest: Option<Offset>,
    /// Versions on hold.
    #[cfg_attr(
        feature = "serde",
        serde(rename = "held", default, skip_serializing_if = "Vec::is_empty")
    )]
    pub held_versions: Vec<VersionId>,
    /// Time since it was confirmed that the log has no record at or after `next`.
    #[cfg_attr(feature = "serde", serde(rename = "age"))]
    pub confirmation_age: Option<Duration>,
    /// Age of the newest checkpoint on the log.
    #[cfg_attr(
        feature = "serde",
        serde(
            rename = "checkpoint",
            default,
            skip_serializing_if = "Option::is_none"
        )
    )]
    pub checkpoint_age: Option<Duration>,
    /// Recent reports, by zone, that entries receive no data of the log.
    #[cfg_attr(
        feature = "serde",
        serde(rename = "doubts", default, skip_serializing_if = "Vec::is_empty")
    )]
    pub log_outages: Vec<LogOutage>,
    /// Whether the sender requests the text of the receiver's rules.
    #[cfg_attr(
        feature = "serde",
        serde(rename = "wants", default, skip_serializing_if = "std::ops::Not::not")
    )]
    pub wants_text: bool,
    /// The text of the rules, for a peer that has requested it.
    #[cfg_attr(
        feature = "serde",
        serde(default, skip_serializing_if = "Option::is_none")
    )]
    pub text: Option<Text>,
}
