use std::time::Duration;

/// How an answer ended that an upstream gave whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct End {
    /// Whether it is a success.
    pub is_good: bool,
    /// Time from its sending to the first event of a stream.
    pub first: Option<Duration>,
    /// Time per event of a stream, or of the whole of a plain answer.
    pub pace: Option<Duration>,
}
