use std::sync::Arc;
use std::time::Instant;

use super::Target;
use crate::id::{CallId, KeyHash, RequestId};

/// A request as received from the caller.
#[derive(Clone, Debug)]
pub struct Head {
    /// Id of the call at this entry.
    pub call: CallId,
    /// Id of the request, which stays the same when the caller retries.
    pub id: RequestId,
    /// Hash of the customer's API key.
    pub key: KeyHash,
    /// Session token, or a session id chosen by the caller.
    pub session: Option<Arc<str>>,
    /// Time at which the request arrived.
    pub received: Instant,
    /// Time by which the whole answer is due.
    pub deadline: Instant,
    /// Number of the caller's attempt, from 1.
    pub attempt: u32,
    /// Whether the request may be repeated, if the caller says so.
    pub may_repeat: Option<bool>,
    /// What the request asks for.
    pub target: Target,
    /// The body as received, which the front end forwards.
    pub body: Arc<[u8]>,
}
