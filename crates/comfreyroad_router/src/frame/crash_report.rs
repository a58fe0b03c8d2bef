use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::answer::Milestone;
use crate::id::{Incarnation, PromptPartId, UpstreamId};

/// A request whose upstream broke the connection before the end of the answer. Times are sent as ages, because the
/// clocks of entries differ.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// The upstream.
    #[serde(deserialize_with = "super::text::deserialize")]
    pub upstream: UpstreamId,
    /// The incarnation of the upstream.
    pub incarnation: Incarnation,
    /// The shared parts of the prompt, in order.
    pub parts: Vec<PromptPartId>,
    /// How far the answer had got; `None` at its beginning.
    pub milestone: Option<Milestone>,
    /// Whether the request was sent on a connection that was opened for it.
    pub is_on_new_connection: bool,
    /// Time since the request was sent.
    pub sent_age: Duration,
    /// Time since the connection broke.
    pub broken_age: Duration,
}
