use std::sync::Arc;

use crate::id::Offset;

/// The rules in force, as they were published.
#[derive(Clone, Debug, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct Text {
    /// Offset of the record that brought them into force.
    pub offset: Offset,
    /// The operator who published them.
    pub by: Arc<str>,
    /// The whole file.
    pub text: Arc<str>,
}
