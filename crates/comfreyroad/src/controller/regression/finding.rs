use std::sync::Arc;
use std::time::Instant;

/// A version that was found to be worse, and whether this has been reported.
#[derive(Clone, Debug)]
pub(super) struct Finding {
    /// When this entry reports the finding, unless another entry has reported it by then.
    pub(super) report_at: Instant,
    /// The reason, in words.
    pub(super) reason: Arc<str>,
    /// Whether this entry has reported the finding.
    pub(super) is_reported: bool,
}
