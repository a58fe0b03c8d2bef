use std::time::Duration;

/// Time that a request is expected to take at an upstream of usual speed that serves nothing else.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Demand {
    /// Prefill of the whole prompt.
    pub prefill: Duration,
    /// Prefill if a cache holds the shared parts of the prompt.
    pub cached_prefill: Duration,
    /// From the first event to the last, or of a plain answer. Half of the answers take longer.
    pub decode: Duration,
    /// The same, for the longest of ten answers.
    pub late_decode: Duration,
}
