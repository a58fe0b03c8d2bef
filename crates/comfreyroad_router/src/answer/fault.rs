/// How an attempt failed in which the upstream may have run the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The connection broke, or the response was not a valid answer.
    Broken,
    /// The answer belongs to another request.
    WrongRequest,
    /// No answer arrived in time.
    TimedOut,
    /// The next event of the stream did not arrive in time.
    Stalled,
    /// The answer ended before it was complete.
    Truncated,
    /// The upstream reported a failure.
    Failed,
}

impl Fault {
    /// Whether nothing has arrived for a time, so that the upstream may still be at work.
    pub fn is_silence(self) -> bool {
        matches!(self, Self::TimedOut | Self::Stalled)
    }

    /// The name used in logs.
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
