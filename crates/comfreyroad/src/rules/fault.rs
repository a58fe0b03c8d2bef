/// What is wrong with a line.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{line}:{column}: {found}: expected {expected}")]
pub struct Fault {
    /// Line, from 1.
    pub line: usize,
    /// Column in characters, from 1.
    pub column: usize,
    /// What stands there.
    pub found: String,
    /// What should stand there.
    pub expected: String,
}
