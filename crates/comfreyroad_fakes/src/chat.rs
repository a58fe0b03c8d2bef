//! Chat completion requests, shared by the engines and the load tool.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::PrefixId;

/// Body of `POST /v1/chat/completions`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Chat {
    /// Requested route, model or version.
    pub model: String,
    /// The conversation so far.
    pub messages: Vec<Message>,
    /// Number of tokens of the answer.
    #[serde(default = "Chat::default_tokens")]
    pub max_tokens: u32,
    /// Whether the answer is streamed as server-sent events.
    #[serde(default)]
    pub stream: bool,
}

/// One message of a conversation.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// `system`, `user` or `assistant`.
    pub role: String,
    /// Text of the message.
    pub content: String,
}

/// A prefix of a conversation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Prefix {
    /// Hash of its messages, see [`Chat::prefixes`].
    pub id: PrefixId,
    /// Length in tokens.
    pub tokens: u32,
}

impl Message {
    /// Creates a message.
    #[must_use]
    pub fn new(role: &str, content: impl Into<String>) -> Self {
        Self {
            role: role.to_owned(),
            content: content.into(),
        }
    }

    /// Estimated length in tokens, at four bytes per token.
    #[must_use]
    pub fn tokens(&self) -> u32 {
        u32::try_from(self.content.len() / 4)
            .unwrap_or(u32::MAX)
            .saturating_add(1)
    }
}

impl Chat {
    fn default_tokens() -> u32 {
        16
    }

    /// The prefixes that end after each message, shortest first.
    ///
    /// The hash of a prefix is xxh3 of `ROLE\nCONTENT` of its last message, seeded with the hash of the previous prefix;
    /// the first seed is 0.
    #[must_use]
    pub fn prefixes(&self) -> Vec<Prefix> {
        let mut hash = 0;
        let mut tokens = 0_u32;
        let extend = |message: &Message| {
            hash = xxh3_64_with_seed(
                format!("{}\n{}", message.role, message.content).as_bytes(),
                hash,
            );
            tokens = tokens.saturating_add(message.tokens());
            Prefix {
                id: format!("{hash:016x}"),
                tokens,
            }
        };
        self.messages.iter().map(extend).collect()
    }

    /// Hash of the whole conversation, which each token of the answer contains.
    #[must_use]
    pub fn hash(&self) -> PrefixId {
        self.prefixes()
            .pop()
            .map(|prefix| prefix.id)
            .unwrap_or_default()
    }
}
