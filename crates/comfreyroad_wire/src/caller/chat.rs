use comfreyroad::request::Chat;
use serde::Deserialize;
use serde_json::Value;
use xxhash_rust::xxh3::xxh3_64;

/// Limit of an answer in tokens when the caller sets no `max_tokens`.
const DEFAULT_MAX_TOKENS: u32 = 512;
/// Highest `max_tokens` that a caller may set.
const MAX_TOKENS: u32 = 1_000_000;
/// Bytes of text per token, for the estimate of a prompt's length.
const BYTES_PER_TOKEN: usize = 4;

/// A body that is not a valid chat-completions request.
#[derive(Debug, thiserror::Error)]
pub enum ChatError {
    /// The body is not JSON, or a required field is missing.
    #[error("read chat request: {0}")]
    Json(#[from] serde_json::Error),
    /// The list of messages is empty.
    #[error("read chat request: `messages` is empty")]
    NoMessages,
    /// The limit of tokens is out of range.
    #[error("read chat request: `max_tokens` is {0}, expected 1 to {MAX_TOKENS}")]
    MaxTokens(u32),
}

#[derive(Deserialize)]
struct Body {
    model: String,
    messages: Vec<Value>,
    max_tokens: Option<u32>,
    #[serde(default)]
    stream: bool,
}

/// Parses a chat-completions request and returns the fields that routing decisions use.
pub fn parse_chat(body: &[u8]) -> Result<Chat, ChatError> {
    let body: Body = serde_json::from_slice(body)?;
    let Some((_, earlier)) = body.messages.split_last() else {
        return Err(ChatError::NoMessages);
    };
    let max_tokens = body.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS);
    if !(1..=MAX_TOKENS).contains(&max_tokens) {
        return Err(ChatError::MaxTokens(max_tokens));
    }
    let text_bytes: usize = body
        .messages
        .iter()
        .map(|message| content(message).len())
        .sum();
    let prefix = earlier.iter().map(Value::to_string).collect::<String>();
    Ok(Chat {
        model: body.model.into(),
        stream: body.stream,
        max_tokens,
        prompt_tokens: u32::try_from(text_bytes.div_ceil(BYTES_PER_TOKEN)).unwrap_or(u32::MAX),
        prefix: xxh3_64(prefix.as_bytes()),
    })
}

/// Text of a message; empty when its content is not a string.
fn content(message: &Value) -> &str {
    message
        .get("content")
        .and_then(Value::as_str)
        .unwrap_or_default()
}
