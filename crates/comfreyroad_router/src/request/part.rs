use crate::id::PromptPartId;

/// A part of a prompt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Part {
    /// Identifies the content of the part.
    pub id: PromptPartId,
    /// Length in tokens.
    pub tokens: u32,
}
