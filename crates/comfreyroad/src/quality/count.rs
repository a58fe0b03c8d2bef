use super::{Cell, Origin, Score, Subject};
use crate::id::{BootId, EntryId, Generation, RouteId, VersionId};

/// A cell with its origin and subject, for gossip.
#[derive(Clone, Debug, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
#[cfg_attr(feature = "serde", serde(from = "Packed", into = "Packed"))]
pub struct Count {
    /// The entry that counted.
    pub origin: Origin,
    /// The version and route that were rated.
    pub subject: Subject,
    /// The counts.
    pub cell: Cell,
}

/// The serialised form of a count. It has no field names, because frames contain many counts.
type Packed = (
    (EntryId, BootId),
    (RouteId, VersionId, bool),
    (Generation, u64),
    [u32; 4],
);

impl From<Count> for Packed {
    fn from(count: Count) -> Self {
        let Count {
            origin,
            subject,
            cell,
        } = count;
        (
            (origin.entry, origin.boot),
            (subject.route, subject.version, subject.is_escalated),
            (cell.since, cell.window),
            [cell.old.rated, cell.old.good, cell.new.rated, cell.new.good],
        )
    }
}

impl From<Packed> for Count {
    fn from(packed: Packed) -> Self {
        let ((entry, boot), (route, version, is_escalated), (since, window), scores) = packed;
        let [old_rated, old_good, new_rated, new_good] = scores;
        let score = |rated, good| Score { rated, good };
        Self {
            origin: Origin { entry, boot },
            subject: Subject {
                route,
                version,
                is_escalated,
            },
            cell: Cell {
                since,
                window,
                old: score(old_rated, old_good),
                new: score(new_rated, new_good),
            },
        }
    }
}
