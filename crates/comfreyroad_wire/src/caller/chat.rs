use comfreyroad::request::Chat;
use serde::Deserialize;
use serde_json::Value;
use xxhash_rust::xxh3::xxh3_64;

/// Longest answer where the caller names none, in tokens.
const DEFAULT_MAX_TOKENS: u32 = 512;
/// Longest answer that can be asked for, in tokens.
const MAX_TOKENS: u32 = 1_000_000;
/// Bytes of text that count as one token, for an estimate.
const BYTES_PER_TOKEN: usize = 4;

/// A body that is no chat-completions request.
#[derive(Debug, thiserror::Error)]
pub enum ChatError {
    /// It is not JSON, or lacks a field.
    #[error("read chat request: {0}")]
    Json(#[from] serde_json::Error),
    /// It has no messages.
    #[error("read chat request: `messages` is empty")]
    NoMessages,
    /// It asks for no tokens, or for too many.
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

/// Reads what the decisions need of a chat-completions request.
pub fn parse_chat(body: &[u8]) -> Result<Chat, ChatError> {
    let body: Body = serde_json::from_slice(body)?;
    let Some((_, earlier)) = body.messages.split_last() else {
        return Err(ChatError::NoMessages);
    };
    let max_tokens = body.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS);
    if !(1..=MAX_TOKENS).contains(&max_tokens) {
        return Err(ChatError::MaxTokens(max_tokens));
    }
    let text: usize = body
        .messages
        .iter()
        .map(|message| content(message).len())
        .sum();
    let prefix = earlier.iter().map(Value::to_string).collect::<String>();
    Ok(Chat {
        model: body.model.into(),
        stream: body.stream,
        max_tokens,
        prompt_tokens: u32::try_from(text.div_ceil(BYTES_PER_TOKEN)).unwrap_or(u32::MAX),
        prefix: xxh3_64(prefix.as_bytes()),
    })
}

fn content(message: &Value) -> &str {
    message
        .get("content")
        .and_then(Value::as_str)
        .unwrap_or_default()
}
