use std::sync::Arc;
use std::time::Instant;

use crate::id::{AttemptId, AttemptTag};
use crate::upstream::Slot;

/// One sending of a request, which holds its slot until it is dropped.
#[derive(Debug)]
pub struct Sending {
    /// Its number at this entry.
    pub attempt: AttemptId,
    /// Its name towards the upstream.
    pub tag: AttemptTag,
    /// The upstream and the slot held there.
    pub slot: Slot,
    /// When it was sent.
    pub at: Instant,
    /// Tokens that it leaves out at the start.
    pub resumed_at: u64,
    /// The upstream's HTTP status, once known.
    pub status: Option<u16>,
    /// Type of the body, once known.
    pub content_type: Option<Arc<str>>,
}
