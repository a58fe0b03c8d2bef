use bytes::Bytes;
use serde::{Deserialize, Serialize};
use serde_json::json;

use crate::{AttemptId, VersionId};

/// One event of a streamed answer.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Chunk {
    /// Attempt that the answer belongs to.
    pub id: AttemptId,
    /// Version that generates the answer.
    pub model: VersionId,
    /// Index of its token in the answer.
    pub offset: u32,
    /// Text of its token; empty in the last chunk.
    pub content: String,
    /// Token counts, in the last chunk only.
    pub usage: Option<Usage>,
}

/// Token counts of an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tokens of the answer.
    pub completion_tokens: u32,
    /// Prompt tokens found in the prefix cache.
    pub cached_tokens: u32,
}

impl Chunk {
    /// Encodes the chunk as a server-sent event.
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

    /// The event that ends a complete stream.
    #[must_use]
    pub fn done() -> Bytes {
        Bytes::from_static(b"data: [DONE]\n\n")
    }
}
