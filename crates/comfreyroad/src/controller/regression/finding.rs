use std::sync::Arc;
use std::time::Instant;

/// A version found bad.
#[derive(Clone, Debug)]
pub(super) struct Finding {
    /// When this entry writes it down, unless another one has by then.
    pub(super) at: Instant,
    /// Why, for a person.
    pub(super) reason: Arc<str>,
    /// Whether this entry has.
    pub(super) is_told: bool,
}
