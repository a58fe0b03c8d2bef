use std::sync::Arc;

use crate::id::Offset;

/// The text of the rules in force, as published.
#[derive(Clone, Debug, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct Text {
    /// Offset of the record that put them into force.
    pub offset: Offset,
    /// The operator who published them.
    pub by: Arc<str>,
    /// The whole file.
    pub text: Arc<str>,
}
