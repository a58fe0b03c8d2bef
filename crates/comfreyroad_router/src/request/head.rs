use std::sync::Arc;
use std::time::Instant;

use super::Part;
use crate::id::{ApiKey, EventId, ModelId, RequestId};

/// What a caller said, as far as decisions go by it.
#[derive(Clone, Debug)]
pub struct Head {
    /// The caller's name of this try.
    pub id: RequestId,
    /// The host that is asked.
    pub host: Arc<str>,
    /// The path that is asked, without its query.
    pub path: Arc<str>,
    /// The caller's key.
    pub key: Option<ApiKey>,
    /// When it arrived.
    pub received_at: Instant,
    /// How long the caller waits; none where it did not say.
    pub deadline: Option<Instant>,
    /// The model that the caller named.
    pub model: Option<ModelId>,
    /// The parts of the prompt, in order; the last one is the request's or its session's own.
    pub prompt: Vec<Part>,
    /// The last event that the caller has, where it goes on with a broken stream.
    pub last_event_id: Option<EventId>,
    /// The session that the caller named.
    pub session: Option<Arc<str>>,
}

impl Head {
    /// The part of the prompt that other requests share, if there is one: all but the last are.
    pub fn shared_prefix(&self) -> Option<&Part> {
        let shared = self.prompt.len().checked_sub(2)?;
        self.prompt.get(shared)
    }

    /// Tokens of the prompt.
    pub fn prompt_tokens(&self) -> u32 {
        self.prompt.iter().map(|part| part.tokens).sum()
    }

    /// Tokens of the prompt that other requests share.
    pub fn shared_tokens(&self) -> u32 {
        let own = self.prompt.last().map_or(0, |part| part.tokens);
        self.prompt_tokens() - own
    }

    /// What requests of one session have in common.
    pub fn session_key(&self) -> Option<&Arc<str>> {
        self.session
            .as_ref()
            .or_else(|| self.prompt.last().map(|part| &part.id))
    }
}
