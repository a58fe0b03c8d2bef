use std::time::Duration;

/// How an answer ended that an upstream gave whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Completion {
    /// Whether it is a success.
    pub is_success: bool,
    /// Time from its sending to the first event of a stream.
    pub first_event_after: Option<Duration>,
    /// Time per event of a stream, or of the whole of a plain answer.
    pub service_time: Option<Duration>,
}
