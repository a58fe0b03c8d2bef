use crate::id::PartId;

/// A part of a prompt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Its name.
    pub id: PartId,
    /// Its length in tokens.
    pub tokens: u32,
}
