use super::{Cell, Origin, Score, Subject};
use crate::id::{BootId, EntryId, Generation, RouteId, VersionId};

/// One cell with its place, as entries tell it each other.
#[derive(Clone, Debug, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
#[cfg_attr(feature = "serde", serde(from = "Packed", into = "Packed"))]
pub struct Count {
    /// Who counted.
    pub origin: Origin,
    /// What was rated.
    pub subject: Subject,
    /// The count.
    pub cell: Cell,
}

/// A count as it leaves the process: without names of fields, since there are many.
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
            (subject.route, subject.version, subject.is_later),
            (cell.since, cell.window),
            [cell.old.rated, cell.old.good, cell.new.rated, cell.new.good],
        )
    }
}

impl From<Packed> for Count {
    fn from(packed: Packed) -> Self {
        let ((entry, boot), (route, version, is_later), (since, window), scores) = packed;
        let [old_rated, old_good, new_rated, new_good] = scores;
        let score = |rated, good| Score { rated, good };
        Self {
            origin: Origin { entry, boot },
            subject: Subject {
                route,
                version,
                is_later,
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
