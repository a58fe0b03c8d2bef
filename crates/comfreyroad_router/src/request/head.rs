use std::sync::Arc;
use std::time::Instant;

use super::Part;
use crate::id::{ApiKey, EventId, ModelId, RequestId};

/// The decoded head of a caller's request, as far as routing decisions need it.
#[derive(Clone, Debug)]
pub struct Head {
    /// The request id, chosen by the caller for each attempt.
    pub id: RequestId,
    /// The requested host.
    pub host: Arc<str>,
    /// The requested path, without its query.
    pub path: Arc<str>,
    /// The caller's API key.
    pub key: Option<ApiKey>,
    /// When the request arrived.
    pub received_at: Instant,
    /// The caller's deadline, if it sent one.
    pub deadline: Option<Instant>,
    /// The model that the caller requests.
    pub model: Option<ModelId>,
    /// The parts of the prompt, in order. The last one belongs to this request or its session, the others may be shared.
    pub prompt: Vec<Part>,
    /// The caller's estimate of the number of tokens that the answer will have. It is right at the median, and often far off.
    pub expected_output_tokens: Option<u32>,
    /// Maximum number of tokens that the answer may have.
    pub max_output_tokens: Option<u32>,
    /// The last event that the caller has received, if it resumes a broken stream.
    pub last_event_id: Option<EventId>,
    /// The session id that the caller sent.
    pub session: Option<Arc<str>>,
}

impl Head {
    /// The last shared part of the prompt, which identifies the longest prefix that a cache may hold. All parts but the last are
    /// shared.
    pub fn shared_prefix(&self) -> Option<&Part> {
        self.shared_parts().last()
    }

    /// The parts of the prompt that other requests may share: all but the last.
    pub fn shared_parts(&self) -> &[Part] {
        let shared = self.prompt.len().saturating_sub(1);
        &self.prompt[..shared]
    }

    /// The ids of the shared parts, for logs.
    pub(crate) fn shared_part_ids(&self) -> String {
        let ids: Vec<&str> = self.shared_parts().iter().map(|it| &*it.id).collect();
        if ids.is_empty() {
            return "-".into();
        }
        ids.join(",")
    }

    /// Length of the prompt in tokens.
    pub fn prompt_tokens(&self) -> u32 {
        self.prompt.iter().map(|part| part.tokens).sum()
    }

    /// Tokens of the prompt that other requests share.
    pub fn shared_tokens(&self) -> u32 {
        let own = self.prompt.last().map_or(0, |part| part.tokens);
        self.prompt_tokens() - own
    }

    /// The key that all requests of one session share: the session id, or else the last part of the prompt.
    pub fn session_key(&self) -> Option<&Arc<str>> {
        self.session
            .as_ref()
            .or_else(|| self.prompt.last().map(|part| &part.id))
    }
}
