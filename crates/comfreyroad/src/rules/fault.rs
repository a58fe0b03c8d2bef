/// A fault in a line of a rules file.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{line}:{column}: {found}: expected {expected}")]
pub struct Fault {
    /// Number of the line, from 1.
    pub line: usize,
    /// Column in characters, from 1.
    pub column: usize,
    /// The text found at this position.
    pub found: String,
    /// The text expected at this position.
    pub expected: String,
}
