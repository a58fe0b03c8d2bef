use crate::id::PartId;

/// A part of a prompt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Part {
    /// Its name.
    pub id: PartId,
    /// Its length in tokens.
    pub tokens: u32,
}
