use comfreyroad::request::Usage;
use serde_json::json;

/// The event that ends a whole stream, and no other.
pub const DONE: &str = "data: [DONE]\n\n";

/// A part of a streamed answer.
pub fn chunk(id: &str, version: &str, text: &str) -> String {
    let chunk = json!({
        "id": id,
        "object": "chat.completion.chunk",
        "model": version,
        "choices": [{"index": 0, "delta": {"content": text}, "finish_reason": null}],
    });
    format!("data: {chunk}\n\n")
}

/// The last part of a streamed answer, with what it took.
pub fn last_chunk(id: &str, version: &str, usage: Usage) -> String {
    let chunk = json!({
        "id": id,
        "object": "chat.completion.chunk",
        "model": version,
        "choices": [{"index": 0, "delta": {}, "finish_reason": "stop"}],
        "usage": counts(usage),
    });
    format!("data: {chunk}\n\n")
}

/// A whole answer in one piece.
pub fn completion(id: &str, version: &str, text: &str, usage: Usage) -> String {
    json!({
        "id": id,
        "object": "chat.completion",
        "model": version,
        "choices": [{
            "index": 0,
            "message": {"role": "assistant", "content": text},
            "finish_reason": "stop",
        }],
        "usage": counts(usage),
    })
    .to_string()
}

fn counts(usage: Usage) -> serde_json::Value {
    json!({
        "prompt_tokens": usage.prompt_tokens,
        "completion_tokens": usage.completion_tokens,
        "cached_tokens": usage.cached_tokens,
        "total_tokens": usage.prompt_tokens.saturating_add(usage.completion_tokens),
    })
}
