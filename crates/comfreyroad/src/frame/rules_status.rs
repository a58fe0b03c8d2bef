use std::time::Duration;

use super::{LogOutage, Text};
use crate::id::{Generation, Offset, VersionId};

/// What an entry knows of the rules.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct RulesStatus {
    /// The generation in force.
    pub generation: Generation,
    /// The sender knows what is in force by all records before this offset; `None` while it does not.
    #[cfg_attr(feature = "serde", serde(default))]
    pub next: Option<Offset>,
    /// The highest such offset that the sender has heard of, where it lacks the rules of that.
    #[cfg_attr(
        feature = "serde",
        serde(default, skip_serializing_if = "Option::is_none")
    )]
    pub newest: Option<Offset>,
    /// Versions held back.
    #[cfg_attr(
        feature = "serde",
        serde(rename = "held", default, skip_serializing_if = "Vec::is_empty")
    )]
    pub held_versions: Vec<VersionId>,
    /// Age of the moment at which no record from `next` on was on the log.
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
    /// Zones whose entries do not hear of the log either.
    #[cfg_attr(
        feature = "serde",
        serde(rename = "doubts", default, skip_serializing_if = "Vec::is_empty")
    )]
    pub log_outages: Vec<LogOutage>,
    /// Whether the sender wants the receiver's rules.
    #[cfg_attr(
        feature = "serde",
        serde(rename = "wants", default, skip_serializing_if = "std::ops::Not::not")
    )]
    pub wants_text: bool,
    /// The rules themselves, for a peer that wants them.
    #[cfg_attr(
        feature = "serde",
        serde(default, skip_serializing_if = "Option::is_none")
    )]
    pub text: Option<Text>,
}
