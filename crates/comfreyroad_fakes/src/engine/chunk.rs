use bytes::Bytes;
use serde::{Deserialize, Serialize};
use serde_json::json;

use crate::{AttemptId, VersionId};

/// One event of a streamed answer.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Chunk {
    /// The attempt that it answers.
    pub id: AttemptId,
    /// The version that runs.
    pub model: VersionId,
    /// Number of its token.
    pub offset: u32,
    /// Text of its token, empty in the last chunk.
    pub content: String,
    /// Counts, in the last chunk only.
    pub usage: Option<Usage>,
}

/// Counts of tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Tokens of the conversation.
    pub prompt_tokens: u32,
    /// Tokens of the answer.
    pub completion_tokens: u32,
    /// Tokens of the conversation that were in the prefix cache.
    pub cached_tokens: u32,
}

impl Chunk {
    /// The chunk as a server-sent event.
    #[must_use]
    pub fn event(&self) -> Bytes {
        let finish = self.usage.map(|_| "stop");
        let mut chunk = json!({
            "id": self.id, "model": self.model, "offset": self.offset,
            "choices": [{ "index": 0, "delta": { "content": self.content }, "finish_reason": finish }],
        });
        if let Some(usage) = self.usage {
            chunk["usage"] = json!(usage);
        }
        format!("data: {chunk}\n\n").into()
    }

    /// The event that ends a whole stream.
    #[must_use]
    pub fn done() -> Bytes {
        Bytes::from_static(b"data: [DONE]\n\n")
    }
}
