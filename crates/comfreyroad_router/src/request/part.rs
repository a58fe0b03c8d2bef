use crate::id::PromptPartId;

/// A part of a prompt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Part {
    /// Its name.
    pub id: PromptPartId,
    /// Its length in tokens.
    pub tokens: u32,
}
