use crate::id::{BootId, EntryId, RouteId, VersionId};

/// What is rated: a version's answers on a route.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct Subject {
    /// The route.
    pub route: RouteId,
    /// The version.
    pub version: VersionId,
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
