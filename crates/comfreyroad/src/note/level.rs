/// Severity of a log event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Level {
    /// Data is lost or at risk.
    Error,
    /// An operator may need to investigate.
    Warn,
    /// A relevant change of state.
    Info,
    /// Details for debugging.
    Debug,
}
