use std::sync::Arc;
use std::time::Instant;

use super::Target;
use crate::id::{CallId, KeyHash, RequestId};

/// What a caller said with a request.
#[derive(Clone, Debug)]
pub struct Head {
    /// The call at this entry.
    pub call: CallId,
    /// Names the request on every retry.
    pub id: RequestId,
    /// Hash of the customer's key.
    pub key: KeyHash,
    /// Session token or an id of the caller's own.
    pub session: Option<Arc<str>>,
    /// When it arrived.
    pub received: Instant,
    /// When the whole answer is due.
    pub deadline: Instant,
    /// 1 for the caller's first try.
    pub attempt: u32,
    /// The caller's word on whether it may be repeated.
    pub may_repeat: Option<bool>,
    /// What is asked for.
    pub target: Target,
    /// The body as it came, for the front end that sends it on.
    pub body: Arc<[u8]>,
}
