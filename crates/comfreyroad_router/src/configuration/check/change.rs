use std::fmt;

use super::Place;

/// One difference between two configurations.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// The new configuration has an entry more; the place is that in the new one.
    Added(Place),
    /// The new configuration lacks an entry; the place is that in the old one.
    Removed(Place),
    /// A field has another value; the place is that in the new configuration.
    Changed {
        /// What the field belongs to.
        place: Place,
        /// The field.
        field: &'static str,
        /// The old value.
        old: String,
        /// The new value.
        new: String,
    },
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Added(place) => write!(f, "{place}: added"),
            Self::Removed(place) => write!(f, "{place}: removed"),
            Self::Changed {
                place,
                field,
                old,
                new,
            } => write!(f, "{place}: {field}: {old} -> {new}"),
        }
    }
}
