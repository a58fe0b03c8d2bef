use crate::id::{BootId, EntryId, RouteId, VersionId};

/// What is rated: a version's answers on a route.
///
/// Answers to prompts on which an earlier version of a chain has failed are counted apart: these are the hard ones, and
/// say nothing of what the version is worth on its own.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct Subject {
    /// The route.
    pub route: RouteId,
    /// The version.
    pub version: VersionId,
    /// Whether an earlier version had failed.
    pub is_later: bool,
}

/// Who counted: one start of one entry, the only writer of its counts.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct Origin {
    /// The entry.
    pub entry: EntryId,
    /// Its start.
    pub boot: BootId,
}
