use serde_json::{Map, Value};

/// Rewrites a caller's request body for an engine. Sets the chosen version, and always requests a stream so that an
/// interrupted answer can be resumed.
pub fn request_body(body: &[u8], version: &str) -> Result<Vec<u8>, serde_json::Error> {
    let mut body: Map<String, Value> = serde_json::from_slice(body)?;
    body.insert("model".into(), version.into());
    body.insert("stream".into(), true.into());
    serde_json::to_vec(&body)
}
