use comfreyroad::request::Usage;
use serde::Deserialize;

/// Data of the event that ends a complete stream.
pub const DONE: &str = "[DONE]";

/// A chunk that cannot be parsed.
#[derive(Debug, thiserror::Error)]
#[error("read chunk: {0}")]
pub struct ChunkError(#[from] serde_json::Error);

/// One chunk of an engine's stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Chunk {
    /// Id of the attempt that the chunk answers.
    pub id: String,
    /// Version that produced the chunk.
    pub model: Option<String>,
    /// Number of tokens that precede the chunk.
    pub offset: u64,
    /// Text of the chunk; empty in the last chunk.
    pub text: String,
    /// Whether this is the last chunk.
    pub finished: bool,
    /// Token usage; present only in the last chunk.
    pub usage: Option<Usage>,
}

#[derive(Deserialize)]
struct Body {
    id: String,
    model: Option<String>,
    #[serde(default)]
    offset: u64,
    choices: Vec<Choice>,
    usage: Option<Counts>,
}

#[derive(Deserialize)]
struct Choice {
    #[serde(default)]
    delta: Delta,
    finish_reason: Option<String>,
}

#[derive(Default, Deserialize)]
struct Delta {
    #[serde(default)]
    content: String,
}

#[derive(Deserialize)]
struct Counts {
    prompt_tokens: u32,
    completion_tokens: u32,
    #[serde(default)]
    cached_tokens: u32,
}

impl Chunk {
    /// Parses the data of an event.
    pub fn parse(data: &str) -> Result<Self, ChunkError> {
        let body: Body = serde_json::from_str(data)?;
        let choice = body.choices.into_iter().next();
        let finished = choice
            .as_ref()
            .is_some_and(|choice| choice.finish_reason.is_some());
        let usage = body.usage.map(|counts| Usage {
            prompt_tokens: counts.prompt_tokens,
            completion_tokens: counts.completion_tokens,
            cached_tokens: counts.cached_tokens,
        });
        let text = choice
            .map(|choice| choice.delta.content)
            .unwrap_or_default();
        Ok(Self {
            id: body.id,
            model: body.model,
            offset: body.offset,
            text,
            finished,
            usage,
        })
    }
}
