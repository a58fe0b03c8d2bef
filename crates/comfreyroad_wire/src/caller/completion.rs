use comfreyroad::request::Usage;
use serde_json::json;

/// The event that ends a complete stream. An incomplete stream ends without it.
pub const DONE: &str = "data: [DONE]\n\n";

/// Event with one part of a streamed answer.
pub fn chunk(id: &str, version: &str, text: &str) -> String {
    let chunk = json!({
        "id": id,
        "object": "chat.completion.chunk",
        "model": version,
        "choices": [{"index": 0, "delta": {"content": text}, "finish_reason": null}],
    });
    format!("data: {chunk}\n\n")
}

/// Last chunk of a streamed answer, with its token usage.
pub fn last_chunk(id: &str, version: &str, usage: Usage) -> String {
    let chunk = json!({
        "id": id,
        "object": "chat.completion.chunk",
        "model": version,
        "choices": [{"index": 0, "delta": {}, "finish_reason": "stop"}],
        "usage": encode_usage(usage),
    });
    format!("data: {chunk}\n\n")
}

/// JSON body of an answer that is not streamed.
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
        "usage": encode_usage(usage),
    })
    .to_string()
}

fn encode_usage(usage: Usage) -> serde_json::Value {
    json!({
        "prompt_tokens": usage.prompt_tokens,
        "completion_tokens": usage.completion_tokens,
        "cached_tokens": usage.cached_tokens,
        "total_tokens": usage.prompt_tokens.saturating_add(usage.completion_tokens),
    })
}
