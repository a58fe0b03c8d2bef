/// How much a log event matters.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Level {
    /// Something is lost or at risk.
    Error,
    /// An operator may want to look.
    Warn,
    /// A change worth recording.
    Info,
    /// Detail.
    Debug,
}
