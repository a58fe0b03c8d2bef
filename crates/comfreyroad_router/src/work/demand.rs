use std::time::Duration;

/// Time that a request is expected to take at an upstream of usual speed that serves nothing else.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Demand {
    /// Prefill of the whole prompt.
    pub prefill: Duration,
    /// Prefill if a cache holds the shared parts of the prompt.
    pub cached_prefill: Duration,
    /// From the first event to the last.
    pub decode: Duration,
}
