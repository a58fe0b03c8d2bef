use indexmap::IndexMap;

use super::Beat;
use crate::id::EntryId;

/// The live entries, as one of them sees them, itself among them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct View {
    /// Newest beat of each live entry, sorted by name.
    pub members: IndexMap<EntryId, Beat>,
}
