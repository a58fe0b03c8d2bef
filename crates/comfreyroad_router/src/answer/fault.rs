/// How an attempt failed that an upstream may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The connection broke, or what came was not an answer.
    Broken,
    /// The answer belongs to another request.
    WrongRequest,
    /// Nothing came in time.
    TimedOut,
    /// The next event did not come in time.
    Stalled,
    /// The answer ended before it was whole.
    Truncated,
    /// The upstream answered that it failed.
    Failed,
}

impl Fault {
    /// Its name in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Broken => "broken",
            Self::WrongRequest => "crossed",
            Self::TimedOut => "silent",
            Self::Stalled => "stalled",
            Self::Truncated => "truncated",
            Self::Failed => "failed",
        }
    }
}
