use std::time::Duration;

/// The outcome of an answer that arrived completely.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Completion {
    /// Whether the answer is a success.
    pub is_success: bool,
    /// Number of events of a stream.
    pub events: u32,
    /// Time from sending the request to the first event of a stream.
    pub first_event_after: Option<Duration>,
    /// Time per event of a stream, or of a whole plain answer.
    pub service_time: Option<Duration>,
}
