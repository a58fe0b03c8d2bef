use std::time::Duration;

use super::{Doubt, Text};
use crate::id::{Generation, Offset, VersionId};

/// What an entry knows of the rules.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct News {
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
        serde(default, skip_serializing_if = "Vec::is_empty")
    )]
    pub held: Vec<VersionId>,
    /// Age of the moment at which no record from `next` on was on the log.
    pub age: Option<Duration>,
    /// Age of the newest checkpoint on the log.
    #[cfg_attr(
        feature = "serde",
        serde(default, skip_serializing_if = "Option::is_none")
    )]
    pub checkpoint: Option<Duration>,
    /// Zones whose entries do not hear of the log either.
    #[cfg_attr(
        feature = "serde",
        serde(default, skip_serializing_if = "Vec::is_empty")
    )]
    pub doubts: Vec<Doubt>,
    /// Whether the sender wants the receiver's rules.
    #[cfg_attr(
        feature = "serde",
        serde(default, skip_serializing_if = "std::ops::Not::not")
    )]
    pub wants: bool,
    /// The rules themselves, for a peer that wants them.
    #[cfg_attr(
        feature = "serde",
        serde(default, skip_serializing_if = "Option::is_none")
    )]
    pub text: Option<Text>,
}
