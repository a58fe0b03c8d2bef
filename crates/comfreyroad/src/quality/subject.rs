use crate::id::{BootId, EntryId, RouteId, VersionId};

/// The subject of a rating: the answers of a version on a route.
///
/// Answers to prompts on which an earlier version of a chain has failed are counted separately. These prompts are
/// harder than average, so the ratings do not show the quality of the version on its own.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct Subject {
    /// The route.
    pub route: RouteId,
    /// The version.
    pub version: VersionId,
    /// Whether an earlier version of the chain had failed.
    #[cfg_attr(feature = "serde", serde(rename = "is_later"))]
    pub is_escalated: bool,
}

/// The origin of a count: one start of one entry, which is the only writer of its counts.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct Origin {
    /// The entry.
    pub entry: EntryId,
    /// The start of its process.
    pub boot: BootId,
}
