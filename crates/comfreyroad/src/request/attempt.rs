use std::sync::Arc;
use std::time::Instant;

use crate::id::{AttemptId, AttemptTag};
use crate::upstream::Slot;

/// One attempt to have a request answered by an upstream. It holds its slot until it is dropped.
#[derive(Debug)]
pub struct Attempt {
    /// Number of the attempt, unique within this start of the entry.
    pub id: AttemptId,
    /// Name by which the upstream knows the attempt.
    pub tag: AttemptTag,
    /// The upstream and the slot held there.
    pub slot: Slot,
    /// Time at which the request was sent.
    pub sent_at: Instant,
    /// Number of leading tokens that the upstream leaves out, because the caller already has them.
    pub resume_from: u64,
    /// HTTP status of the upstream's answer, once received.
    pub status: Option<u16>,
    /// Content type of the upstream's answer, once received.
    pub content_type: Option<Arc<str>>,
}
