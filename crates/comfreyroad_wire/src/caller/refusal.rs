use comfreyroad::refusal::{Code, Ran, Refusal};
use serde_json::json;

/// JSON body of a refusal.
pub fn refusal_body(refusal: &Refusal) -> String {
    let ran = match refusal.ran() {
        Ran::No => "no",
        Ran::Maybe => "maybe",
    };
    let retry_after_ms = refusal.retry_after().map(|after| after.as_millis());
    encode(
        &refusal.code().to_string(),
        refusal.step(),
        ran,
        refusal.message(),
        retry_after_ms,
    )
}

/// JSON error body for input that is rejected before it becomes a request.
pub fn error_body(code: &str, step: &str, message: &str) -> String {
    encode(code, step, "no", message, None)
}

fn encode(
    code: &str,
    step: &str,
    ran: &str,
    message: &str,
    retry_after_ms: Option<u128>,
) -> String {
    json!({"error": {
        "code": code,
        "step": step,
        "ran": ran,
        "message": message,
        "retry_after_ms": retry_after_ms,
    }})
    .to_string()
}

/// HTTP status code of a refusal.
pub fn status_code(code: Code) -> u16 {
    match code {
        Code::BadRequest | Code::BadSession => 400,
        Code::UnknownKey => 401,
        Code::NotAllowed => 403,
        Code::NotFound => 404,
        Code::Claimed => 409,
        Code::Withdrawn => 410,
        Code::Overloaded => 429,
        Code::UpstreamFailed => 502,
        Code::Deadline => 504,
        _ => 503,
    }
}
